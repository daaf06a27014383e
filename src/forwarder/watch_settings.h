#ifndef BRIARPOINT_FORWARDER_WATCH_SETTINGS_H
#define BRIARPOINT_FORWARDER_WATCH_SETTINGS_H

#include "forwarder/forwarder_settings.h"
#include "store/object_watcher.h"

namespace briarpoint {

/// Return the settings of the watchers of the targets' registrations and of the configuration. With
/// them a change is known within the platform's time limits: DrainTime or ConfigurationTime after
/// the store has it, and ContactTime after all failures have ended.
object_watcher_settings registrationWatchSettings(const forwarder_settings &Settings);
object_watcher_settings configurationWatchSettings(const forwarder_settings &Settings);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_WATCH_SETTINGS_H
