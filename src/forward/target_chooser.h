#ifndef BRIARPOINT_FORWARD_TARGET_CHOOSER_H
#define BRIARPOINT_FORWARD_TARGET_CHOOSER_H

#include "base/random_source.h"
#include "forward/pooled_load.h"
#include "forward/target.h"
#include "forward/warm_up_limiter.h"

#include <span>
#include <vector>

namespace briarpoint {

/// Chooses the target of a new flow.
///
/// Targets of the local data centre rank first, so that a partition between data centres breaks no
/// flow and there is no paid traffic between them. While the local targets are overloaded, other
/// data centres share the load. Targets rank after all others if they are suspected, have an
/// overdue handshake, are suspected by several other balancers, or were removed while most others
/// were not; after those, targets that a reader found dead. Among targets of the same rank,
/// the one with the fewest open flows of this balancer in relation to its slots and speed is
/// chosen. Ties are broken at random, because balancers don't coordinate their choices and would
/// otherwise all choose the same target. A target that is warming up isn't chosen while
/// warm_up_limiter allows it no flow.
///
/// While the load of all balancers is known (pooled_load) and the own data centre has too little
/// room, load_spill decides which data centre a flow goes to. There, the less loaded one of two
/// random targets is chosen instead of the least loaded one: one flow of 112 balancers says little
/// about a target, and the least loaded target by the same view would be the same one for all.
class target_chooser {
public:
  /// The load of a target that is warming up is multiplied by this. The platform specifies that
  /// requests take up to 1.6 times as long during the warm-up.
  static constexpr double WarmUpFactor = 1.6;

  /// A target counts as slow if its mean response time is more than this many times that of the
  /// fastest local target. The averages of targets of equal speed differ by less.
  static constexpr double SlowThreshold = 1.6;
  /// The local data centre counts as overloaded if response times are more than this many times the
  /// lowest ones, on average over its targets. Response times double at a load of about 0.85.
  static constexpr double OverloadThreshold = 1.8;
  /// Reports count only if they name at most this share of the targets that accept flows, so that
  /// wrong ones can't take most of a service out of use.
  static constexpr double MaxReportedShare = 0.5;
  /// The load of a target that fails in part is multiplied by this. Other targets take most of its
  /// new flows, and it keeps enough to show that it works again.
  static constexpr double FailingFactor = 4.0;
  /// The load of a target of another data centre is multiplied by this.
  static constexpr double RemoteFactor = 2.0;

  /// \p Random and \p WarmUp must outlive the object; \p WarmUp may be nullptr.
  explicit target_chooser(random_source &Random, warm_up_limiter *WarmUp = nullptr)
      : Random(Random), WarmUp(WarmUp) {}

  /// Returns the best target for a new flow, which counts as assigned to it, or nullptr if none
  /// accepts flows. \p Avoided ranks after all other targets that have none of the faults above; it
  /// may be nullptr.
  target *choose(std::span<target *const> Targets, const target *Avoided, instant Now);

  /// \p Load must outlive the object; it may be nullptr.
  void setPooledLoad(const pooled_load *Load) { Pooled = Load; }
  /// Number of choices of another data centre while targets without faults of the own one were
  /// available and load was pooled.
  std::uint64_t spilledFlows() const { return SpilledFlows; }

private:
  /// Summary of the targets of the local data centre.
  struct local_summary {
    /// Shortest mean response time of a target; 0 if no target has a valid one.
    double FastestMeanSeconds = 0;
    bool Overloaded = false;
    /// Reports of other balancers are ignored if they name too many of the service's targets.
    bool ReportsCount = false;
  };
  static local_summary summariseLocal(std::span<target *const> Targets, instant Now);
  static int rank(const target &Target, const target *Avoided, const local_summary &Summary,
                  instant Now);
  static double load(const target &Target, const local_summary &Summary, instant Now);
  /// Returns whether a new flow may be assigned to the target.
  bool isCandidate(const target &Target, instant Now);
  target *chooseLeastLoaded(std::span<target *const> Targets, const target *Avoided,
                            const local_summary &Summary, instant Now);
  target *chooseByPooledLoad(std::span<target *const> Targets, const target *Avoided,
                             local_summary Summary, instant Now);
  /// Returns an index with a probability in proportion to its weight. The sum must not be 0.
  std::size_t drawIndex(std::span<const double> Weights);

  random_source &Random;
  warm_up_limiter *WarmUp;
  /// The limit of cold targets has left out a candidate of the choice in progress.
  bool WarmUpLimited = false;
  const pooled_load *Pooled = nullptr;
  std::uint64_t SpilledFlows = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_CHOOSER_H
