#ifndef BRIARPOINT_FORWARD_ROUTING_CONFIGURATION_H
#define BRIARPOINT_FORWARD_ROUTING_CONFIGURATION_H

#include "base/instant.h"
#include "forward/route.h"

namespace briarpoint {

/// A route that can't be read.
struct refused_route {
  /// Empty if it can't be read, either.
  std::string Name;
  /// The first error in it; empty if many parts were refused before.
  std::string Finding;

  auto operator<=>(const refused_route &) const = default;
};

/// Properties of a service that forwarding uses.
struct service_properties {
  std::string Name;
  /// Flows a second that a target of the service should get while it warms up; 0 if there is no
  /// limit.
  double WarmUpPerSecond = 0;

  auto operator<=>(const service_properties &) const = default;
};

/// A service's entry that can't be read.
struct refused_service {
  /// Empty if it can't be read, either.
  std::string Name;
  /// The first error in it; empty if many parts were refused before.
  std::string Finding;

  auto operator<=>(const refused_service &) const = default;
};

/// The part of a version of the operators' configuration that forwarding uses.
struct routing_configuration {
  /// Increases with each version; 0 means that there is none.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  /// Time without packets after which tracking of a flow may end.
  duration IdleTimeout = std::chrono::seconds(15);
  std::vector<refused_route> RefusedRoutes = {};
  /// The first error in the limits, in which case those that can't be read have their defaults;
  /// empty if there is none.
  std::string RefusedLimits = {};
  std::vector<service_properties> Services = {};
  std::vector<refused_service> RefusedServices = {};

  auto operator<=>(const routing_configuration &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_ROUTING_CONFIGURATION_H
