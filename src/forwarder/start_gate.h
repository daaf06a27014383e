#ifndef BRIARPOINT_FORWARDER_START_GATE_H
#define BRIARPOINT_FORWARDER_START_GATE_H

#include "base/instant.h"

namespace briarpoint {

/// Decides when a balancer that has started may be reported as ready. Its first lists are stale
/// reads, which may lack a route, a target or an evacuation that other balancers have used for
/// seconds. It is ready once the store's revision has shown that they are current, or if the
/// revision can't be read for MaxProofTime, since old lists are better than none.
class start_gate {
public:
  static constexpr duration MaxProofTime = std::chrono::milliseconds(2000);

  /// Call it when routes and targets are known. Later calls have no effect.
  void onLoaded(instant Now) {
    if (OpensAt == Never)
      OpensAt = Now + MaxProofTime;
  }

  /// Routes, targets and evacuations contain everything that the store had at \p RoutesCurrentAt,
  /// \p TargetsCurrentAt and \p EvacuationsCurrentAt; instant{} if nothing was proven. The last one
  /// is Never if evacuations aren't watched.
  bool isOpen(instant RoutesCurrentAt, instant TargetsCurrentAt, instant EvacuationsCurrentAt,
              instant Now) const {
    return (RoutesCurrentAt != instant{} && TargetsCurrentAt != instant{} &&
            EvacuationsCurrentAt != instant{}) ||
           Now >= OpensAt;
  }

private:
  /// When the gate opens without proof; Never before routes and targets are known.
  instant OpensAt = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_START_GATE_H
