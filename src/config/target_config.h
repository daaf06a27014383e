#ifndef BRIARPOINT_CONFIG_TARGET_CONFIG_H
#define BRIARPOINT_CONFIG_TARGET_CONFIG_H

#include "base/ids.h"
#include "net/endpoint.h"

#include <string>

namespace briarpoint {

/// What the operator wants of a target.
enum class target_intent : std::uint8_t {
  /// Takes new flows.
  Active,
  /// Keeps its open flows and takes no new ones.
  Leaving,
};

/// A target as configured.
struct target_config {
  /// Unique within the service.
  std::string Name;
  std::string DataCentre;
  /// Where Geneve packets for the target go (UDP).
  endpoint Tunnel;
  /// Where the target answers GET /health (TCP).
  endpoint Health;
  /// Requests that the target serves at the same time; at least 1.
  std::uint32_t Slots = 1;
  target_intent Intent = target_intent::Active;

  auto operator<=>(const target_config &) const = default;
};

/// Returns the identity of a target of the service named \p ServiceName.
target_id makeTargetId(const std::string &ServiceName, const target_config &Target);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_TARGET_CONFIG_H
