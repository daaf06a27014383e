#ifndef BRIARPOINT_FORWARD_TARGET_CHOOSER_H
#define BRIARPOINT_FORWARD_TARGET_CHOOSER_H

#include "base/random_source.h"
#include "forward/target.h"

#include <span>

namespace briarpoint {

/// Chooses the target of a new flow.
///
/// Targets of the own data centre go first: a cut between data centres then breaks no flow, and no
/// bytes are paid for between them. When callers wait much longer for all of them than they used
/// to, other data centres share the load. Suspected and doubted targets come after all others.
/// Among equals the one with the fewest open flows of this balancer for its slots and its speed is
/// taken; ties are broken at random, so that balancers that know nothing of each other don't agree
/// on the same target.
class target_chooser {
public:
  /// A target that warms up counts as having this many times its open flows. The platform states
  /// work that is up to 1.6 times as long during the warm-up.
  static constexpr double WarmUpFactor = 1.6;

  /// A target counts as slow if its callers wait this many times as long as those of the fastest
  /// one of its data centre. Averages of targets that are alike differ by less.
  static constexpr double SlowFactor = 1.6;
  /// The own data centre counts as overloaded if callers wait this many times as long as they did
  /// at best, on average over its targets. Waiting times double at a load of about 0.85.
  static constexpr double OverloadFactor = 1.8;
  /// A target of another data centre then counts as having this many times its open flows.
  static constexpr double DistanceFactor = 2.0;

  /// \p Random must outlive the object.
  explicit target_chooser(random_source &Random) : Random(Random) {}

  /// Returns a target, other than \p Except if there is one, or nothing if none accepts flows.
  target *choose(std::span<target *const> Targets, const target *Except, instant Now);

private:
  /// What the targets of the own data centre show together.
  struct local_view {
    /// Shortest average of a target in seconds; 0 if none is known.
    double Fastest = 0;
    bool Overloaded = false;
  };
  static local_view viewLocal(std::span<target *const> Targets, instant Now);
  static int rank(const target &Target, const target *Except, const local_view &View, instant Now);
  static double load(const target &Target, const local_view &View, instant Now);

  random_source &Random;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_CHOOSER_H
