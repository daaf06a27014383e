#ifndef BRIARPOINT_STANDINS_TRAFFIC_SETTINGS_H
#define BRIARPOINT_STANDINS_TRAFFIC_SETTINGS_H

#include "base/instant.h"
#include "net/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarpoint {

/// A service that simulated callers use.
struct traffic_service {
  std::string Name;
  std::uint32_t Vni = 0;
  endpoint Tcp;
  endpoint Udp;

  auto operator<=>(const traffic_service &) const = default;
};

/// Settings of a run of simulated callers.
struct traffic_settings {
  std::vector<traffic_service> Services;
  /// Flows per service.
  std::uint32_t TcpFlows = 200;
  std::uint32_t UdpFlows = 100;
  /// Period over which the flows are opened evenly.
  duration OpeningPeriod = std::chrono::seconds(10);
  /// Requests of each flow, and the pause between a response and the next request.
  std::uint32_t Requests = 5;
  duration Pause = std::chrono::milliseconds(500);
  /// Targets that don't count for the imbalance, because they drain during the run.
  std::vector<std::string> Drained;
  std::uint64_t Seed = 1;

  auto operator<=>(const traffic_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TRAFFIC_SETTINGS_H
