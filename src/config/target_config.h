#ifndef BRIARPOINT_CONFIG_TARGET_CONFIG_H
#define BRIARPOINT_CONFIG_TARGET_CONFIG_H

#include "base/ids.h"
#include "net/endpoint.h"

#include <string>

namespace briarpoint {

/// State of a target that the operator requests.
enum class target_intent : std::uint8_t {
  /// Accepts new flows.
  Active,
  /// Keeps its open flows and accepts no new ones.
  Leaving,
};

/// A target as configured.
struct target_config {
  /// Unique within the service.
  std::string Name;
  std::string DataCentre;
  /// Endpoint to which Geneve packets for the target are sent (UDP).
  endpoint Tunnel;
  /// Endpoint at which the target answers GET /health (TCP).
  endpoint Health;
  /// Number of requests that the target can serve at the same time; at least 1.
  std::uint32_t Slots = 1;
  target_intent Intent = target_intent::Active;

  auto operator<=>(const target_config &) const = default;
};

/// Returns the identity of a target of the service named \p ServiceName.
target_id makeTargetId(const std::string &ServiceName, const target_config &Target);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_TARGET_CONFIG_H
