#ifndef BRIARPOINT_CORE_TARGET_TARGET_SETTINGS_H
#define BRIARPOINT_CORE_TARGET_TARGET_SETTINGS_H

#include "base/ids.h"
#include "base/instant.h"

namespace briarpoint {

/// Settings of target health and weights.
struct target_settings {
  member_id Self{};
  /// Sequence of the first report; higher than that of any earlier process of the same name.
  std::uint64_t FirstSequence = 1;
  duration ProbeInterval = std::chrono::seconds(1);
  std::uint32_t ProbersPerTarget = 3;
  std::uint32_t ProbeFailures = 3;
  /// Answers in a row after which a target counts as recovered.
  std::uint32_t ProbeSuccesses = 2;
  /// How much later than a target of the own data centre one of another counts as dead. Probes
  /// notice a partition before the membership does, and a target beyond it may be alive.
  duration RemoteDeadDelay = std::chrono::seconds(5);
  duration SlowStart = std::chrono::seconds(30);
  double MaxEjected = 1.0 / 3.0;
  /// Time constant of the mean of slot use and connections that a prober reports. One sample of a
  /// target with 3 slots scatters by more than half of its mean.
  duration LoadTimeConstant = std::chrono::seconds(20);
  /// Shortest time between two reports that differ in load only.
  duration LoadReportInterval = std::chrono::seconds(5);
  /// How long the report of a prober still counts after it was relieved or died. Without it, a
  /// draining target would take new flows until its next prober has asked it.
  duration UnassignedReportLifetime = std::chrono::seconds(5);

  auto operator<=>(const target_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_SETTINGS_H
