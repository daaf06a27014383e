#ifndef BRIARPOINT_MEASURE_DEPLOYMENT_H
#define BRIARPOINT_MEASURE_DEPLOYMENT_H

#include "base/instant.h"
#include "config/configuration.h"

#include <array>
#include <string>

namespace briarpoint::measure {

/// Number of data centres. The next index stands for everything outside them (callers, platform).
inline constexpr std::size_t DataCentreCount = 3;
inline constexpr std::size_t OutsideIndex = DataCentreCount;

/// Network of one of the two operators in section 1 of the design page.
struct deployment {
  std::string Name;
  std::array<std::string, DataCentreCount> DataCentres;
  /// One-way latencies between data centres, and between a balancer and a caller.
  duration LatencyBetweenDataCentres{};
  duration LatencyToCallers = std::chrono::milliseconds(1);
  /// Names and numbers of targets of the two services.
  std::array<std::string, 2> Services;
  std::array<std::uint32_t, 2> Targets{14, 4};
  std::uint32_t Slots = 0;
  /// Total number of open flows.
  std::uint32_t OpenFlows = 0;
};

/// Return the deployments "shop" and "storage".
deployment shopNetwork();
deployment storageFirm();

/// Ports of each service: one TCP port per class from FirstTcpPort on, and a UDP port.
inline constexpr std::uint16_t FirstTcpPort = 7000;
inline constexpr std::uint16_t UdpPort = 7010;

/// Returns a target of a service. \p Number is unique within the service.
target_config makeTarget(const deployment &Deployment, std::uint32_t Service, std::uint32_t Number);

/// Returns the services of the initial configuration.
std::vector<service_config> makeServices(const deployment &Deployment);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_DEPLOYMENT_H
