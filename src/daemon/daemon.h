#ifndef BRIARPOINT_DAEMON_DAEMON_H
#define BRIARPOINT_DAEMON_DAEMON_H

#include "config/settings.h"
#include "core/sync/object_store.h"
#include "log/event_log.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace briarpoint {

/// Reads and parses a settings file.
/// \throws findings_error with all findings; std::runtime_error if the file can't be read.
settings readSettings(const std::string &File);

/// Creates a client of the object store that the settings name.
using store_factory = std::function<std::unique_ptr<object_store>(event_base *, const settings &)>;

/// A balancer's process: settings, object store, both tasks with their threads, and signals.
class daemon {
public:
  /// \p File is read again at SIGHUP. \p MakeStore is used unless the store is in memory.
  daemon(std::string File, settings Settings, event_log &Log, time_source &Clock,
         store_factory MakeStore);

  /// Runs until the graceful stop after SIGTERM or SIGINT is complete. A second signal ends the
  /// process at once.
  /// \throws std::exception if the daemon can't start.
  void run();

private:
  struct components;

  void reload(components &Components);
  void stop(components &Components);

  std::string File;
  settings Settings;
  event_log &Log;
  time_source &Clock;
  store_factory MakeStore;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_DAEMON_H
