#ifndef BRIARPOINT_FORWARD_TARGET_CHOOSER_H
#define BRIARPOINT_FORWARD_TARGET_CHOOSER_H

#include "base/random_source.h"
#include "forward/target.h"

#include <span>

namespace briarpoint {

/// Chooses the target of a new flow.
///
/// Targets of the own data centre go first: a cut between data centres then breaks no flow, and no
/// bytes are paid for between them. Suspected and doubted targets come after all others. Among
/// equals the one with the fewest open flows of this balancer for its slots is taken; ties are
/// broken at random, so that balancers that know nothing of each other don't agree on the same
/// target.
class target_chooser {
public:
  /// A target that warms up counts as having this many times its open flows. The platform states
  /// work that is up to 1.6 times as long during the warm-up.
  static constexpr double WarmUpFactor = 1.6;

  /// \p Random must outlive the object.
  explicit target_chooser(random_source &Random) : Random(Random) {}

  /// Returns a target, other than \p Except if there is one, or nothing if none accepts flows.
  target *choose(std::span<target *const> Targets, const target *Except, instant Now);

private:
  random_source &Random;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_CHOOSER_H
