#ifndef BRIARPOINT_FORWARD_ROUTE_TABLE_H
#define BRIARPOINT_FORWARD_ROUTE_TABLE_H

#include "forward/routing_configuration.h"

#include <map>
#include <set>
#include <string>

namespace briarpoint {

/// A route of the configuration in force.
struct active_route {
  route Route;
  std::uint64_t TotalWeight = 0;
  /// Services that this or an earlier version of the route named. Open flows stay at their targets
  /// when a new version takes effect.
  std::set<std::string, std::less<>> FlowServices;

  /// Returns the service for a new flow, or nullptr if all weights are 0. \p Hash must be uniformly
  /// distributed.
  const std::string *chooseService(std::uint64_t Hash) const;
};

/// The routes of the configuration in force. The version in force never decreases.
class route_table {
public:
  /// \p FlowLifetime is the longest time that a flow can last, \p PropagationTime the longest time
  /// that a version takes to be in force at all balancers.
  explicit route_table(duration FlowLifetime = std::chrono::seconds(60),
                       duration PropagationTime = std::chrono::seconds(3))
      : FlowLifetime(FlowLifetime), PropagationTime(PropagationTime) {}

  /// Returns false and changes nothing if the version isn't above the one in force. A refused route
  /// or service stays as it was in the version before, if it is known by its name. \p WrittenAgain
  /// tells that the store lost the version in force and has another one with the same number; that
  /// one is applied, too.
  bool apply(const routing_configuration &Configuration, bool WrittenAgain = false);

  /// Version in force; 0 before the first one.
  std::uint64_t version() const { return Version; }
  duration idleTimeout() const { return IdleTimeout; }

  /// Versions from before \p Now may have been missed. Other balancers open flows under them until
  /// the next version is in force there, so open flows of any service are accepted until the last
  /// of these flows has ended.
  void onVersionsMissed(instant Now) { HistoryCompleteAt = Now + PropagationTime + FlowLifetime; }

  /// A newer version was refused, so nothing is known of its routes.
  void onVersionRefused() { Complete = false; }

  /// Whether the store has the version in force. If it came back from a copy with an older one,
  /// balancers that started since have that one.
  void setInStore(bool IsInStore) { InStore = IsInStore; }
  bool isInStore() const { return InStore; }

  /// The store had no version at \p At that this table hasn't seen.
  void setCurrentAt(instant At) { CurrentAt = At; }
  /// Returns whether the routes include all versions under which other balancers can have opened a
  /// flow before \p Time.
  bool isCurrentAsOf(instant Time) const { return Complete && InStore && Time < CurrentAt; }

  /// Returns whether packets of an open flow of \p Route may be forwarded to \p Service.
  bool allowsFlow(const active_route &Route, const std::string &Service, instant Now) const {
    return Route.FlowServices.contains(Service) || Now < HistoryCompleteAt;
  }

  /// Returns the route of a service address, or nullptr if there is none.
  const active_route *find(const ipv4_endpoint &Address) const;

  /// Returns the services that the routes name, or named before, to which flows may be open.
  std::set<std::string> services() const;

  /// Returns the priorities that the routes have.
  const std::set<std::uint32_t> &priorities() const { return Priorities; }

  /// Returns the flows a second that a target of the service should get while it warms up; 0 if
  /// there is no limit.
  double warmUpRate(const std::string &Service) const {
    const auto Found = WarmUpRates.find(Service);
    return Found == WarmUpRates.end() ? 0 : Found->second;
  }
  /// The same for all services whose entry has been readable.
  const std::map<std::string, double> &warmUpRates() const { return WarmUpRates; }

  std::size_t size() const { return Routes.size(); }

private:
  void applyServices(const routing_configuration &Configuration);

  duration FlowLifetime;
  duration PropagationTime;
  /// Time from which every open flow was opened under a version that this table has seen.
  instant HistoryCompleteAt{};
  instant CurrentAt{};
  /// No route of the version in force was refused, and no version since.
  bool Complete = true;
  bool InStore = true;
  std::uint64_t Version = 0;
  duration IdleTimeout = routing_configuration().IdleTimeout;
  std::map<ipv4_endpoint, active_route> Routes;
  std::set<std::uint32_t> Priorities;
  std::map<std::string, double> WarmUpRates;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_ROUTE_TABLE_H
