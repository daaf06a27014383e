#ifndef BRIARPOINT_CORE_SYNC_CONFIG_CONTROLLER_H
#define BRIARPOINT_CORE_SYNC_CONFIG_CONTROLLER_H

#include "core/sync/config_listener.h"
#include "core/sync/config_settings.h"
#include "core/sync/patch_execution.h"

#include <deque>
#include <map>

namespace briarpoint {

/// Maintains the configuration in force: applies higher versions from peers and the platform, never
/// a lower one, and executes patches one after the other.
class config_controller {
public:
  /// \p Store, \p Random and \p Listener must outlive the object.
  config_controller(const config_settings &Settings, object_store &Store, random_source &Random,
                    config_listener &Listener);

  /// Starts reading the platform's version.
  void start(instant Now);

  /// Runs due retries and timeouts.
  void tick(instant Now);

  /// Sets whether this process watches the platform.
  void setWatching(bool Watch);

  /// Handles the announcement that a peer has \p Version in force.
  void handlePeerVersion(member_id From, const endpoint &Rpc, config_version Version);

  /// Results of config_listener::fetchFromPeer.
  void handleConfiguration(member_id From, std::shared_ptr<const configuration> Configuration);
  void handleFetchFailure(member_id From);

  /// Executes a patch. \p Done is called once.
  void submitPatch(const patch &Patch, patch_execution::done Done);

  /// Never null.
  std::shared_ptr<const configuration> inForce() const { return InForce; }

  /// True if the version in force is the highest that peers and platform have reported so far and
  /// the first read of the platform has ended or timed out. With no version in force, the platform
  /// must have answered that none exists.
  bool isCurrent() const;

  /// Number of reads in which the platform returned a version below the one in force.
  std::uint64_t platformRegressions() const { return Regressions; }

private:
  struct source {
    endpoint Rpc;
    config_version Version = 0;
  };
  struct queued_patch {
    patch Patch;
    patch_execution::done Done;
  };

  void adopt(std::shared_ptr<const configuration> Configuration);
  void fetchNext();
  void readPlatform();
  void handleHead(const object_result &Result, bool Watched);
  void load(const config_head &Head, object_version Object, bool Watched);
  void watch();
  void restartWatch(std::uint32_t Attempt);
  void startPatch();

  config_settings Settings;
  config_listener &Listener;
  store_client Store;
  std::shared_ptr<const configuration> InForce = std::make_shared<const configuration>();
  config_version HighestKnownVersion = 0;

  /// Peers that announced a version above the one in force.
  std::map<member_id, source> Sources;
  member_id FetchingFrom = NoMember;
  instant FetchDeadline = Never;
  std::uint32_t FetchFailures = 0;

  /// State of reads of the platform.
  bool Reading = false;
  bool FirstReadDone = false;
  bool PlatformEmpty = false;
  instant FirstReadDeadline = Never;
  instant NextReadAt = Never;
  std::uint32_t ReadFailures = 0;
  std::uint64_t Regressions = 0;

  /// State of the watch.
  bool Watching = false;
  bool WatchOpen = false;
  object_version WatchedVersion = 0;
  std::uint32_t WatchFailures = 0;

  std::deque<queued_patch> Patches;
  std::unique_ptr<patch_execution> Running;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_CONTROLLER_H
