#ifndef BRIARPOINT_CORE_TARGET_TARGET_PROBE_H
#define BRIARPOINT_CORE_TARGET_TARGET_PROBE_H

#include "base/instant.h"
#include "core/target/probe_result.h"
#include "core/target/target_settings.h"
#include "core/target/target_status.h"

#include <optional>

namespace briarpoint {

/// Health and smoothed load of one target that this process probes, and the decision which changes
/// are reported to the other balancers.
class target_probe {
public:
  target_probe(target_id Target, instant FirstProbeAt);

  /// Returns true if a probe is due, and schedules the next one.
  bool takeDue(const target_settings &Settings, instant Now);

  /// Applies the result of a probe.
  void handle(const target_settings &Settings, const probe_result &Result, instant Now);

  /// Returns a report, without sequence and reporter, if health or load changed significantly since
  /// the last one. Changes of load are ignored unless \p ReportsLoad.
  std::optional<target_status> takeReport(const target_settings &Settings, bool ReportsLoad,
                                          instant Now);

private:
  void updateHealth(const target_settings &Settings, const probe_result &Result);
  void updateLoad(const target_settings &Settings, const probe_result &Result, instant Now);

  target_id Target;
  instant NextProbeAt;
  /// Consecutive failed probes, and consecutive answers that differ from Health.
  std::uint32_t Failures = 0;
  std::uint32_t Successes = 0;
  /// False until there are enough results to set Health.
  bool HasHealth = false;
  target_health Health = target_health::Healthy;
  /// Smoothed slot use (1.0 = all slots) and connections. The first samples have equal weight.
  double SlotUse = 0;
  double Connections = 0;
  std::uint32_t Samples = 0;
  instant LastSampleAt{};
  std::optional<target_status> LastReport;
  instant LastReportAt{};
  /// Earliest time of a next report that differs in load only.
  instant NextLoadReportAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_PROBE_H
