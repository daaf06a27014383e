#ifndef BRIARPOINT_CONFIG_SERVICE_CONFIG_H
#define BRIARPOINT_CONFIG_SERVICE_CONFIG_H

#include "config/request_class.h"
#include "config/target_config.h"
#include "net/flow_key.h"

#include <vector>

namespace briarpoint {

/// A port of a service and the class of the requests that arrive there.
struct service_port {
  std::uint16_t Port = 0;
  transport Protocol = transport::Tcp;
  request_class Class = request_class::Normal;

  auto operator<=>(const service_port &) const = default;
};

/// A service as configured.
struct service_config {
  /// Unique within the configuration.
  std::string Name;
  /// Unique within the configuration, 1 to 2^24 - 1; the Geneve virtual network identifier.
  service_id Id{0};
  /// The address that callers use. Address, port and protocol together belong to one service only.
  ip_address Address;
  std::vector<service_port> Ports;
  std::vector<target_config> Targets;

  auto operator<=>(const service_config &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_SERVICE_CONFIG_H
