#ifndef BRIARPOINT_MEASURE_SIMULATION_SETTINGS_H
#define BRIARPOINT_MEASURE_SIMULATION_SETTINGS_H

#include "core/view/ownership_table.h"
#include "measure/deployment.h"

namespace briarpoint::measure {

/// Settings of a fabric_simulation.
struct simulation_settings {
  deployment Deployment;
  ownership_scope Scope = ownership_scope::DataCentre;
  std::uint64_t Seed = 1;
  std::size_t BalancersPerDataCentre = 6;
  /// Share of control messages between balancers that are lost.
  double PeerLoss = 0.0;
  /// Upper bounds of the extra delay, uniformly distributed, of control messages and of new views
  /// on their way to the data plane.
  duration MaxPeerDelay{};
  duration MaxViewDelay{};
  /// One-way latency within a data centre.
  duration LatencyWithinDataCentre = std::chrono::microseconds(100);
  /// Time from the start, leaving or end of a balancer until the fabric routes accordingly.
  duration RoutingDelay = std::chrono::seconds(1);
  /// Time without an answer after which a probe or a fetch fails.
  duration CallTimeout = std::chrono::seconds(1);
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_SIMULATION_SETTINGS_H
