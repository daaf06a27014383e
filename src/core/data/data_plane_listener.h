#ifndef BRIARPOINT_CORE_DATA_DATA_PLANE_LISTENER_H
#define BRIARPOINT_CORE_DATA_DATA_PLANE_LISTENER_H

#include "core/data/handover.h"
#include "core/data/target_observation.h"
#include "core/view/target_view.h"

#include <span>

namespace briarpoint {

/// Carries out the actions that the data plane decides on. Spans and references are valid during
/// the call only.
class data_plane_listener {
public:
  virtual ~data_plane_listener() = default;

  /// Sends an IP packet to a target: Geneve with the service's number as VNI, to the target's
  /// tunnel endpoint.
  virtual void sendToTarget(const target_view &Target, std::span<const std::byte> Inner) = 0;

  /// Sends an IP packet towards the caller: Geneve to the fabric.
  virtual void sendToCaller(std::span<const std::byte> Inner) = 0;

  /// Sends an IP packet with a hand-over option to another balancer.
  virtual void sendToBalancer(const member_view &Member, const handover &Handover,
                              std::span<const std::byte> Inner) = 0;

  /// Sends records to another balancer as control traffic.
  virtual void sendRecords(member_id To, std::span<const flow_record> Records) = 0;

  /// Informs \p To that all records that it needs from this balancer have been sent.
  virtual void sendTransferFinished(member_id To) = 0;

  /// Reports observations of targets since the last call; called about every ReportInterval.
  virtual void reportObservations(std::span<const target_observation> Observations) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DATA_PLANE_LISTENER_H
