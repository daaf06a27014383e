#ifndef BRIARPOINT_FORWARD_ROUTE_H
#define BRIARPOINT_FORWARD_ROUTE_H

#include "net/ipv4_endpoint.h"

#include <compare>
#include <string>
#include <vector>

namespace briarpoint {

/// A service to which a route sends new flows, with its weight.
struct route_service {
  std::string Service;
  /// Relative to the other services of the route.
  std::uint32_t Weight = 1;

  auto operator<=>(const route_service &) const = default;
};

/// The services that receive the flows to one service address.
struct route {
  std::string Name;
  ipv4_endpoint Address;
  /// Priority of the requests; 0 is the highest.
  std::uint32_t Priority = 0;
  std::vector<route_service> Services;

  auto operator<=>(const route &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_ROUTE_H
