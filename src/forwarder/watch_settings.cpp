#include "forwarder/watch_settings.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Part of the time in which a change must be in force for which further changes are gathered. The
/// rest is for a call that fails and its repeat. Registrations change in groups, and a draining
/// target goes on accepting flows, so they are gathered for longer than configurations.
constexpr double RegistrationDelayShare = 0.4;
constexpr double ConfigurationDelayShare = 0.1;
/// Limits, however much time a platform leaves: news of targets that crashed shouldn't wait longer.
constexpr duration MaxBatchingDelay = std::chrono::seconds(2);
constexpr duration MaxRetryPause = std::chrono::seconds(5);
constexpr duration MaxCheckInterval = std::chrono::seconds(5);
/// Calls that fit into the contact time besides a pause: one that was in progress when the trouble
/// ended and fails after 1.8 s at most, and a short watch and a list that are answered.
constexpr duration CallReserve = std::chrono::milliseconds(2200);
/// What fits into the contact time besides the interval of checks: a check that reports a change,
/// and the short watch that fetches it 300 ms later.
constexpr duration CheckReserve = std::chrono::milliseconds(1000);
/// Part of the history's time for which a watch waits. A longer one ends when the changes since its
/// revision are gone, although none concerned it, and all objects have to be listed.
constexpr double MaxWaitShareOfHistory = 0.9;

object_watcher_settings watchSettings(duration ChangeTime, double GatherShare,
                                      const forwarder_settings &Settings) {
  object_watcher_settings Result;
  const duration ContactTime = Settings.ContactTime;
  Result.WatchTimeout =
      std::min(Result.WatchTimeout,
               std::chrono::duration_cast<duration>(Settings.HistoryTime * MaxWaitShareOfHistory));
  const duration Pause = std::max(ContactTime - CallReserve, Result.StartupBackoff.Base);
  Result.Backoff.Limit = std::min(Pause, MaxRetryPause);
  Result.StartupBackoff.Limit = std::min(Pause, Result.StartupBackoff.Limit);
  Result.BatchingDelay = std::min(
      {std::chrono::duration_cast<duration>(ChangeTime * GatherShare), Pause, MaxBatchingDelay});
  Result.CheckInterval =
      std::clamp(ContactTime - CheckReserve, Result.ProbeTimeout, MaxCheckInterval);
  return Result;
}

} // namespace

object_watcher_settings registrationWatchSettings(const forwarder_settings &Settings) {
  return watchSettings(Settings.DrainTime, RegistrationDelayShare, Settings);
}

object_watcher_settings configurationWatchSettings(const forwarder_settings &Settings) {
  return watchSettings(Settings.ConfigurationTime, ConfigurationDelayShare, Settings);
}

} // namespace briarpoint
