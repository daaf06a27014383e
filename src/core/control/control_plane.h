#ifndef BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_H
#define BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_H

#include "base/random_source.h"
#include "core/control/control_plane_counters.h"
#include "core/control/control_plane_listener.h"
#include "core/control/control_plane_settings.h"
#include "core/data/target_observation.h"
#include "core/sync/object_store.h"
#include "core/sync/patch_outcome.h"
#include "core/target/probe_result.h"

#include "config/patch.h"

#include <functional>
#include <memory>
#include <span>

namespace briarpoint {

/// Control plane of one balancer: membership, target state, configuration and flow ownership.
/// Connects the controllers and builds the views of the data plane. Not thread-safe; one task
/// drives it.
class control_plane {
public:
  /// \p Store, \p Random and \p Listener must outlive the object.
  control_plane(const control_plane_settings &Settings, object_store &Store, random_source &Random,
                control_plane_listener &Listener);
  ~control_plane();
  control_plane(const control_plane &) = delete;
  control_plane &operator=(const control_plane &) = delete;

  /// Starts joining. Must be called once, before any other function.
  void start(instant Now);

  /// Runs due work. Must be called every 100 ms or more often; a gap longer than PauseLimit is
  /// treated as a pause of the process.
  void tick(instant Now);

  /// Handles an authenticated message.
  void handleMessage(const endpoint &From, const peer_message &Message, instant Now);

  void handleProbe(const probe_result &Result, instant Now);
  void handleObservations(std::span<const target_observation> Observations, instant Now);

  /// Results of control_plane_listener::fetchConfiguration.
  void handleConfiguration(member_id From, std::shared_ptr<const configuration> Configuration,
                           instant Now);
  void handleFetchFailure(member_id From, instant Now);

  /// Actions of the data plane that are sent as control messages.
  void sendRecords(member_id To, std::span<const flow_record> Records);
  void sendTransferFinished(member_id To);

  /// Executes a patch against the platform. \p Done is called once, possibly before this function
  /// returns.
  void submitPatch(const patch &Patch, instant Now,
                   std::function<void(const patch_outcome &)> Done);

  /// Announces that this balancer leaves.
  void leave(instant Now);

  /// After leave(): true when the peers have taken over, or a time limit has passed, and this
  /// process may exit.
  bool mayExit(instant Now) const;

  /// True once this balancer owns its share of the flows.
  bool isReady() const;

  /// Configuration in force; never null.
  std::shared_ptr<const configuration> inForce() const;

  /// Known members, this one included, and the statuses of targets; for the state dump.
  std::vector<member_info> members() const;
  std::vector<target_status> targetStatuses() const;

  /// Events since the start, for metrics and log events.
  control_plane_counters counters() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_H
