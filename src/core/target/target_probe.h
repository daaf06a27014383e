#ifndef BRIARPOINT_CORE_TARGET_TARGET_PROBE_H
#define BRIARPOINT_CORE_TARGET_TARGET_PROBE_H

#include "base/instant.h"
#include "core/target/probe_result.h"
#include "core/target/target_settings.h"
#include "core/target/target_status.h"

#include <optional>

namespace briarpoint {

/// What this process finds out about one target that it probes, and which of it is worth spreading.
class target_probe {
public:
  target_probe(target_id Target, instant FirstAt);

  /// True when the next probe is due; schedules the one after it.
  bool takeDue(const target_settings &Settings, instant Now);

  /// Applies an answer, or its absence.
  void handle(const target_settings &Settings, const probe_result &Result, instant Now);

  /// Returns a report without sequence and reporter if something significant changed since the last
  /// one. Changes of load count only if \p ReportsLoad.
  std::optional<target_status> takeReport(const target_settings &Settings, bool ReportsLoad,
                                          instant Now);

private:
  void updateHealth(const target_settings &Settings, const probe_result &Result);
  void updateLoad(const target_settings &Settings, const probe_result &Result, instant Now);

  target_id Target;
  instant NextAt;
  /// Answers that differ from Health, in a row.
  std::uint32_t Failures = 0;
  std::uint32_t Successes = 0;
  bool Known = false;
  target_health Health = target_health::Healthy;
  /// Smoothed slot use (1.0 = all slots) and connections; the first samples are averaged.
  double SlotUse = 0;
  double Connections = 0;
  std::uint32_t Samples = 0;
  instant LastSample{};
  /// What was reported last, and when load alone may be reported again.
  std::optional<target_status> Reported;
  instant ReportedAt{};
  instant LoadReportAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_PROBE_H
