#include "core/target/target_probe.h"

#include <algorithm>
#include <cmath>

namespace briarpoint {

namespace {

/// Changes of load below these shares aren't spread: with 18 targets and 3 probers each, a finer
/// step would take most of the control traffic.
constexpr double SignificantUse = 0.15;
constexpr double SignificantConnections = 0.25;
constexpr double SmallestUseStep = 10;
constexpr double SmallestConnectionStep = 8;
/// The limits fall to this share of them with the age of the last report, so that a small change
/// isn't hidden for ever.
constexpr double AgedShare = 0.25;
constexpr std::chrono::duration<double> AgingTime = std::chrono::seconds(60);

bool differs(double Now, double Before, double Share, double Least) {
  return std::abs(Now - Before) >= std::max(Least, Share * Before);
}

} // namespace

target_probe::target_probe(target_id Target, instant FirstAt) : Target(Target), NextAt(FirstAt) {}

bool target_probe::takeDue(const target_settings &Settings, instant Now) {
  if (Now < NextAt)
    return false;
  NextAt = std::max(NextAt + Settings.ProbeInterval, Now + Settings.ProbeInterval / 2);
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
      Known = true;
    }
    return;
  }
  Failures = 0;
  const target_health Seen = Result.Draining   ? target_health::Draining
                             : Result.Shedding ? target_health::Shedding
                                               : target_health::Healthy;
  // A restriction holds at once; its end needs several answers, so that a wavering target doesn't
  // change the weights each second.
  const bool Restricts = !Known || (Seen == target_health::Draining) ||
                         (Seen == target_health::Shedding && Health == target_health::Healthy);
  Successes = Seen == Health ? 0 : Successes + 1;
  if (Restricts || Successes >= Settings.ProbeSuccesses) {
    Health = Seen;
    Successes = 0;
  }
  Known = true;
}

void target_probe::updateLoad(const target_settings &Settings, const probe_result &Result,
                              instant Now) {
  const double Use = static_cast<double>(Result.SlotsInUse) / Result.Slots;
  const double Elapsed =
      std::chrono::duration<double>(Samples == 0 ? Settings.ProbeInterval : Now - LastSample)
          .count();
  const double Constant = std::chrono::duration<double>(Settings.LoadTimeConstant).count();
  ++Samples;
  const double Gain = std::max(1.0 / Samples, 1.0 - std::exp(-Elapsed / Constant));
  SlotUse += Gain * (Use - SlotUse);
  Connections += Gain * (Result.Connections - Connections);
  LastSample = Now;
}

std::optional<target_status> target_probe::takeReport(const target_settings &Settings,
                                                      bool ReportsLoad, instant Now) {
  if (!Known)
    return std::nullopt;
  target_status Status;
  Status.Target = Target;
  Status.Health = Health;
  Status.SlotUse = static_cast<std::uint8_t>(std::min(255.0, std::round(SlotUse * 255.0)));
  Status.Connections = static_cast<std::uint32_t>(std::round(Connections));
  if (Reported && Reported->Health == Health) {
    const double Age = (Now - ReportedAt) / AgingTime;
    const double Limit = std::max(AgedShare, 1.0 - Age);
    const bool Changed = differs(Status.SlotUse, Reported->SlotUse, Limit * SignificantUse,
                                 Limit * SmallestUseStep) ||
                         differs(Connections, Reported->Connections, Limit * SignificantConnections,
                                 Limit * SmallestConnectionStep);
    if (!ReportsLoad || !Changed || Now < LoadReportAt)
      return std::nullopt;
  }
  Reported = Status;
  ReportedAt = Now;
  LoadReportAt = Now + Settings.LoadReportInterval;
  return Status;
}

} // namespace briarpoint
