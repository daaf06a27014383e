#ifndef BRIARPOINT_CORE_TARGET_TARGET_SETTINGS_H
#define BRIARPOINT_CORE_TARGET_TARGET_SETTINGS_H

#include "base/ids.h"
#include "base/instant.h"

namespace briarpoint {

/// Settings of target health and weights.
struct target_settings {
  member_id Self{};
  /// Sequence of the first report. Must be higher than those of all earlier processes of this name.
  std::uint64_t FirstSequence = 1;
  duration ProbeInterval = std::chrono::seconds(1);
  std::uint32_t ProbersPerTarget = 3;
  /// Consecutive failed probes after which a target is down.
  std::uint32_t ProbeFailures = 3;
  /// Consecutive answers after which a target has recovered.
  std::uint32_t ProbeSuccesses = 2;
  /// How long a target of another data centre must be down before it is dead; one of the own data
  /// centre is dead at once. Probes detect a partition before the membership does, and a target
  /// beyond the partition may be alive.
  duration RemoteDeadDelay = std::chrono::seconds(5);
  /// Time in which the weight of a new or recovered target rises to 100%.
  duration SlowStart = std::chrono::seconds(30);
  /// Largest share of a service's targets that is ejected.
  double MaxEjected = 1.0 / 3.0;
  /// Time constant of the exponential mean of slot use and connections that a prober reports. One
  /// sample of a target with 3 slots scatters by more than half of its mean.
  duration LoadTimeConstant = std::chrono::seconds(20);
  /// Shortest time between two reports that differ in load only.
  duration LoadReportInterval = std::chrono::seconds(5);
  /// How long a report that a target is draining counts after its prober was unassigned or died.
  /// Without it, a draining target would get new flows until its next prober has probed it.
  duration UnassignedReportLifetime = std::chrono::seconds(5);

  auto operator<=>(const target_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_SETTINGS_H
