#ifndef BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_SETTINGS_H
#define BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_SETTINGS_H

#include "base/instant.h"
#include "core/member/member_info.h"
#include "core/view/ownership_table.h"

#include <vector>

namespace briarpoint {

/// Settings of the control plane.
struct control_plane_settings {
  /// This process; its incarnation must be higher than that of any earlier process of the same name
  /// (for example the wall clock in milliseconds at the start).
  member_info Self;
  ownership_scope Scope = ownership_scope::DataCentre;
  /// Control endpoints of balancers to contact first; this process's own may be among them.
  std::vector<endpoint> Seeds;
  duration HeartbeatInterval = std::chrono::seconds(1);
  /// Silence after which a member is suspected, and after which a suspected one is declared dead.
  duration SuspectAfter = std::chrono::milliseconds(2500);
  duration DeadAfter = std::chrono::milliseconds(1500);
  /// Number of ring successors that receive heartbeats.
  std::uint32_t RingSuccessors = 8;
  /// Event-loop gap after which this process treats itself as paused.
  duration PauseLimit = std::chrono::seconds(2);
  /// A joining process becomes ready at the latest after this time, even if no peer answered.
  duration JoinLimit = std::chrono::seconds(30);
  duration ProbeInterval = std::chrono::seconds(1);
  std::uint32_t ProbersPerTarget = 3;
  /// Unanswered probes in a row after which a prober reports a target as down.
  std::uint32_t ProbeFailures = 3;
  /// Period in which a new target's weight rises from 10% to 100%.
  duration SlowStart = std::chrono::seconds(30);
  /// Balancers per data centre that watch the platform.
  std::uint32_t WatchersPerDataCentre = 3;
  /// Largest share of a service's targets that health may eject.
  double MaxEjected = 1.0 / 3.0;

  auto operator<=>(const control_plane_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_SETTINGS_H
