#include "core/target/target_probe.h"

#include <algorithm>
#include <cmath>

namespace briarpoint {

namespace {

/// Smaller changes of load aren't reported. With 18 targets and 3 probers each, reports of smaller
/// changes would take most of the control traffic. The relative thresholds are shares of the last
/// reported value.
constexpr double RelativeUseThreshold = 0.15;
constexpr double RelativeConnectionThreshold = 0.25;
/// In 1/255 of the slots, and in connections.
constexpr double MinUseThreshold = 10;
constexpr double MinConnectionThreshold = 8;
/// The thresholds fall linearly to this share within 3/4 of AgingPeriod after the last report. A
/// small change that lasts is reported eventually.
constexpr double MinThresholdShare = 0.25;
constexpr std::chrono::duration<double> AgingPeriod = std::chrono::seconds(60);

bool differs(double Current, double Previous, double Share, double MinDifference) {
  return std::abs(Current - Previous) >= std::max(MinDifference, Share * Previous);
}

} // namespace

target_probe::target_probe(target_id Target, instant FirstProbeAt)
    : Target(Target), NextProbeAt(FirstProbeAt) {}

bool target_probe::takeDue(const target_settings &Settings, instant Now) {
  if (Now < NextProbeAt)
    return false;
  NextProbeAt = std::max(NextProbeAt + Settings.ProbeInterval, Now + Settings.ProbeInterval / 2);
  return true;
}

void target_probe::handle(const target_settings &Settings, const probe_result &Result,
                          instant Now) {
  updateHealth(Settings, Result);
  if (Result.Answered && Result.Slots > 0)
    updateLoad(Settings, Result, Now);
}

void target_probe::updateHealth(const target_settings &Settings, const probe_result &Result) {
  if (!Result.Answered) {
    Successes = 0;
    if (++Failures >= Settings.ProbeFailures) {
      Health = target_health::Down;
      HasHealth = true;
    }
    return;
  }
  Failures = 0;
  const target_health AnsweredHealth = Result.Draining   ? target_health::Draining
                                       : Result.Shedding ? target_health::Shedding
                                                         : target_health::Healthy;
  // A restriction takes effect at once. Its end needs several answers, because a target that
  // alternates would change the weights each second.
  const bool Restricts =
      !HasHealth || (AnsweredHealth == target_health::Draining) ||
      (AnsweredHealth == target_health::Shedding && Health == target_health::Healthy);
  Successes = AnsweredHealth == Health ? 0 : Successes + 1;
  if (Restricts || Successes >= Settings.ProbeSuccesses) {
    Health = AnsweredHealth;
    Successes = 0;
  }
  HasHealth = true;
}

void target_probe::updateLoad(const target_settings &Settings, const probe_result &Result,
                              instant Now) {
  const double Use = static_cast<double>(Result.SlotsInUse) / Result.Slots;
  const double Elapsed =
      std::chrono::duration<double>(Samples == 0 ? Settings.ProbeInterval : Now - LastSampleAt)
          .count();
  const double TimeConstant = std::chrono::duration<double>(Settings.LoadTimeConstant).count();
  ++Samples;
  const double Gain = std::max(1.0 / Samples, 1.0 - std::exp(-Elapsed / TimeConstant));
  SlotUse += Gain * (Use - SlotUse);
  Connections += Gain * (Result.Connections - Connections);
  LastSampleAt = Now;
}

std::optional<target_status> target_probe::takeReport(const target_settings &Settings,
                                                      bool ReportsLoad, instant Now) {
  if (!HasHealth)
    return std::nullopt;
  target_status Status;
  Status.Target = Target;
  Status.Health = Health;
  Status.SlotUse = static_cast<std::uint8_t>(std::min(255.0, std::round(SlotUse * 255.0)));
  Status.Connections = static_cast<std::uint32_t>(std::round(Connections));
  if (LastReport && LastReport->Health == Health) {
    const double Age = (Now - LastReportAt) / AgingPeriod;
    const double ThresholdShare = std::max(MinThresholdShare, 1.0 - Age);
    const bool Changed =
        differs(Status.SlotUse, LastReport->SlotUse, ThresholdShare * RelativeUseThreshold,
                ThresholdShare * MinUseThreshold) ||
        differs(Connections, LastReport->Connections, ThresholdShare * RelativeConnectionThreshold,
                ThresholdShare * MinConnectionThreshold);
    if (!ReportsLoad || !Changed || Now < NextLoadReportAt)
      return std::nullopt;
  }
  LastReport = Status;
  LastReportAt = Now;
  NextLoadReportAt = Now + Settings.LoadReportInterval;
  return Status;
}

} // namespace briarpoint
