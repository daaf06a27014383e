#ifndef BRIARPOINT_MEASURE_SIMULATION_LISTENER_H
#define BRIARPOINT_MEASURE_SIMULATION_LISTENER_H

#include "base/ids.h"
#include "core/target/probe_result.h"
#include "net/endpoint.h"

#include <cstddef>
#include <span>

namespace briarpoint::measure {

/// Interface of the simulated callers and targets towards the simulation.
class simulation_listener {
public:
  virtual ~simulation_listener() = default;

  /// Called when a packet arrives at a target, with the virtual network identifier of its
  /// encapsulation, or at a caller.
  virtual void packetAtTarget(std::uint32_t Target, service_id Vni,
                              std::span<const std::byte> Inner) = 0;
  virtual void packetAtCaller(std::span<const std::byte> Inner) = 0;
  virtual void flowTimer(std::uint32_t Flow) = 0;

  /// Returns the index of a target, and the data centre of the target with an index.
  virtual std::uint32_t targetIndex(target_id Target) const = 0;
  virtual std::size_t targetDataCentre(std::uint32_t Target) const = 0;
  /// Returns the tunnel endpoint from which the target sends its packets.
  virtual const endpoint &targetTunnel(std::uint32_t Target) const = 0;
  /// Returns the answer of a target to a probe.
  virtual probe_result probe(std::uint32_t Target) = 0;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_SIMULATION_LISTENER_H
