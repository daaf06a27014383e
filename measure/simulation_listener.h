#ifndef BRIARPOINT_MEASURE_SIMULATION_LISTENER_H
#define BRIARPOINT_MEASURE_SIMULATION_LISTENER_H

#include "base/ids.h"
#include "core/target/probe_result.h"
#include "net/endpoint.h"

#include <cstddef>
#include <span>

namespace briarpoint::measure {

/// What the fixture needs of the fake callers and targets.
class simulation_listener {
public:
  virtual ~simulation_listener() = default;

  /// A packet reached a target with this virtual network identifier, or a caller.
  virtual void packetAtTarget(std::uint32_t Target, service_id Vni,
                              std::span<const std::byte> Inner) = 0;
  virtual void packetAtCaller(std::span<const std::byte> Inner) = 0;
  virtual void flowTimer(std::uint32_t Flow) = 0;

  /// Index of the target with this identity, and its data centre.
  virtual std::uint32_t targetIndex(target_id Target) const = 0;
  virtual std::size_t targetDataCentre(std::uint32_t Target) const = 0;
  /// Tunnel endpoint that the target's packets come from.
  virtual const endpoint &targetTunnel(std::uint32_t Target) const = 0;
  /// Answer of a target to a probe.
  virtual probe_result probe(std::uint32_t Target) = 0;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_SIMULATION_LISTENER_H
