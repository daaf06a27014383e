#ifndef BRIARPOINT_FORWARDER_FORWARDER_H
#define BRIARPOINT_FORWARDER_FORWARDER_H

#include "forward/object_format.h"
#include "forward/packet_format.h"
#include "forwarder/forwarder_settings.h"
#include "io/event_loop.h"
#include "io/time_source.h"
#include "log/event_log.h"
#include "store/object_api.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace briarpoint {

/// What a platform provides to a forwarder.
struct forwarder_platform {
  const packet_format &Packets;
  const object_format &Objects;
  /// Connections to the store, one for each watched kind.
  object_api &RegistrationApi;
  object_api &ConfigurationApi;
  object_api &EvacuationApi;
  /// Connection for reads of the store's revision.
  object_api &RevisionApi;
  /// Path of the routers' readiness requests.
  std::string ReadinessPath;
  /// Makes later calls use another address of the store.
  std::function<void(const endpoint &)> SetStoreAddress;
};

/// The daemon that forwards callers' packets by flow tokens. It runs one event loop and keeps no
/// state that must survive a restart.
class forwarder {
public:
  /// Everything that is referred to must outlive the object. \p DroppedLogLines counts log lines
  /// that were dropped.
  forwarder(const forwarder_settings &Settings, event_loop &Loop,
            const forwarder_platform &Platform, event_log &Log, time_source &Clock,
            const std::uint64_t &DroppedLogLines);
  ~forwarder();
  forwarder(const forwarder &) = delete;
  forwarder &operator=(const forwarder &) = delete;

  /// Returns the text of the settings file.
  /// \throws std::exception if the file can't be read.
  using read_function = std::function<std::string()>;

  /// Serves until the graceful stop after SIGTERM is complete. \p Read is called on SIGHUP and at
  /// an interval. Changed settings take effect if they are valid.
  void run(const std::string &SettingsFile, const read_function &Read);

private:
  struct parts;
  std::unique_ptr<parts> Parts;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_H
