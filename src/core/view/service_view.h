#ifndef BRIARPOINT_CORE_VIEW_SERVICE_VIEW_H
#define BRIARPOINT_CORE_VIEW_SERVICE_VIEW_H

#include "config/service_config.h"

namespace briarpoint {

/// The properties of a service that the data plane uses.
struct service_view {
  service_id Id{};
  std::string Name;
  ip_address Address;
  std::vector<service_port> Ports;
  /// Indices into forwarding_view::targets().
  std::vector<std::uint32_t> Targets;

  auto operator<=>(const service_view &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_VIEW_SERVICE_VIEW_H
