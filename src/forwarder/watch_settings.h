#ifndef BRIARPOINT_FORWARDER_WATCH_SETTINGS_H
#define BRIARPOINT_FORWARDER_WATCH_SETTINGS_H

#include "forwarder/forwarder_settings.h"
#include "store/object_watcher.h"

namespace briarpoint {

/// Return the settings of the watchers of the targets' registrations, of the configuration and of
/// evacuations. With them a change is known within the platform's time limits: DrainTime,
/// ConfigurationTime or EvacuationTime after the store has it, and ContactTime after all failures
/// have ended.
object_watcher_settings registrationWatchSettings(const forwarder_settings &Settings);
object_watcher_settings configurationWatchSettings(const forwarder_settings &Settings);
object_watcher_settings evacuationWatchSettings(const forwarder_settings &Settings);

/// Returns the maximum age of the view of the evacuations with which a flow may be opened.
duration maxEvacuationAge(const forwarder_settings &Settings);

/// Times of the reads of the store's revision.
struct revision_times {
  /// Time between two reads.
  duration Interval{};
  /// Minimum time between two calls of a reader to the store.
  duration MinCallInterval{};
  /// Time within which a reader answers.
  duration AnswerTimeout{};

  auto operator<=>(const revision_times &) const = default;
};

/// Returns the times with which a change that a watch didn't report is found, and fetched, within
/// the platform's time limits.
revision_times revisionTimes(const forwarder_settings &Settings);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_WATCH_SETTINGS_H
