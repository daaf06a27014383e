#ifndef BRIARPOINT_MEASURE_DEPLOYMENT_H
#define BRIARPOINT_MEASURE_DEPLOYMENT_H

#include "base/instant.h"
#include "config/configuration.h"

#include <array>
#include <string>

namespace briarpoint::measure {

/// Number of data centres; the next index stands for everything outside (callers, platform).
inline constexpr std::size_t DataCentreCount = 3;
inline constexpr std::size_t OutsideIndex = DataCentreCount;

/// One of the two operators of section 1 of the design page.
struct deployment {
  std::string Name;
  std::array<std::string, DataCentreCount> DataCentres;
  /// One-way latencies.
  duration LatencyBetweenDataCentres{};
  duration LatencyToCallers = std::chrono::milliseconds(1);
  /// Two services, one with 14 and one with 4 targets.
  std::array<std::string, 2> Services;
  std::array<std::uint32_t, 2> Targets{14, 4};
  std::uint32_t Slots = 0;
  /// Open flows in all.
  std::uint32_t OpenFlows = 0;
};

/// Returns the shop network or the storage firm.
deployment shopNetwork();
deployment storageFirm();

/// Ports of a service: TCP ports of each class, then a UDP port.
inline constexpr std::uint16_t FirstTcpPort = 7000;
inline constexpr std::uint16_t UdpPort = 7010;

/// Returns a target of a service. \p Number is unique within the service.
target_config makeTarget(const deployment &Deployment, std::uint32_t Service, std::uint32_t Number);

/// Returns the whole configuration as of the start.
std::vector<service_config> makeServices(const deployment &Deployment);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_DEPLOYMENT_H
