#ifndef BRIARPOINT_FORWARD_ROUTE_TABLE_H
#define BRIARPOINT_FORWARD_ROUTE_TABLE_H

#include "forward/routing_configuration.h"

#include <map>
#include <set>
#include <string>

namespace briarpoint {

/// A route in force.
struct active_route {
  route Route;
  std::uint64_t TotalWeight = 0;
  /// Services that this or an earlier version of the route named. A new version leaves open flows
  /// where they are.
  std::set<std::string, std::less<>> FlowServices;

  /// Returns the service for a new flow; \p Hash is uniformly distributed. Nothing if all weights
  /// are 0.
  const std::string *chooseService(std::uint64_t Hash) const;
};

/// The routes of the configuration in force. The version in force never decreases.
class route_table {
public:
  /// A flow lives for \p FlowLifetime at most.
  explicit route_table(duration FlowLifetime = std::chrono::seconds(60))
      : FlowLifetime(FlowLifetime) {}

  /// Returns false, and changes nothing, if the version isn't above the one in force.
  bool apply(const routing_configuration &Configuration);

  /// Version in force; 0 before the first one.
  std::uint64_t version() const { return Version; }
  duration idleTimeout() const { return IdleTimeout; }

  /// Versions before \p Now may have been missed. Other balancers may have opened flows by them, so
  /// any service is accepted for open flows until the last of these has ended.
  void onVersionsMissed(instant Now) { HistoryKnownAt = Now + FlowLifetime; }

  /// Returns whether an open flow of \p Route may go to \p Service.
  bool allowsFlow(const active_route &Route, const std::string &Service, instant Now) const {
    return Route.FlowServices.contains(Service) || Now < HistoryKnownAt;
  }

  /// Returns the route of a service address, or nothing.
  const active_route *find(const ipv4_endpoint &Address) const;

  std::size_t size() const { return Routes.size(); }

private:
  duration FlowLifetime;
  instant HistoryKnownAt{};
  std::uint64_t Version = 0;
  duration IdleTimeout = routing_configuration().IdleTimeout;
  std::map<ipv4_endpoint, active_route> Routes;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_ROUTE_TABLE_H
