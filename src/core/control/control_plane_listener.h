#ifndef BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_LISTENER_H
#define BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_LISTENER_H

#include "core/control/peer_message.h"
#include "core/view/forwarding_view.h"

#include <memory>
#include <span>

namespace briarpoint {

/// Receives the actions of the control plane.
class control_plane_listener {
public:
  virtual ~control_plane_listener() = default;

  /// Sends a message to the control socket of a balancer. It may be lost.
  virtual void sendMessage(const endpoint &Control, const peer_message &Message) = 0;

  /// Passes a new view to the data plane.
  virtual void publishView(std::shared_ptr<const forwarding_view> View) = 0;

  /// Probes a target; the result goes to control_plane::handleProbe.
  virtual void probeTarget(target_id Target, const endpoint &Health) = 0;

  /// Fetches a configuration of at least \p Version from a balancer's RPC endpoint; the result goes
  /// to control_plane::handleConfiguration or handleFetchFailure.
  virtual void fetchConfiguration(member_id From, const endpoint &Rpc, config_version Version) = 0;

  /// Passes records from another balancer to the data plane.
  virtual void storeRecords(std::span<const flow_record> Records) = 0;

  /// Makes the data plane drop its records, because the process was paused.
  virtual void resetFlows() = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_LISTENER_H
