#ifndef BRIARPOINT_FORWARDER_WATCH_SETTINGS_H
#define BRIARPOINT_FORWARDER_WATCH_SETTINGS_H

#include "forwarder/forwarder_settings.h"
#include "store/object_watcher.h"

namespace briarpoint {

/// Return how targets' registrations and the configuration are watched, so that a change is known
/// within the times that the platform states: DrainTime or ConfigurationTime after the store has
/// it, and ContactTime after all trouble is over.
object_watcher_settings registrationWatchSettings(const forwarder_settings &Settings);
object_watcher_settings configurationWatchSettings(const forwarder_settings &Settings);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_WATCH_SETTINGS_H
