#ifndef BRIARPOINT_FORWARD_FLOW_ADDRESS_H
#define BRIARPOINT_FORWARD_FLOW_ADDRESS_H

#include "base/hash.h"
#include "net/ipv4_endpoint.h"

#include <cstddef>

namespace briarpoint {

/// The two endpoints of a flow as the caller sees them.
struct flow_address {
  ipv4_endpoint Caller;
  /// The service address that the caller sends to.
  ipv4_endpoint Service;

  auto operator<=>(const flow_address &) const = default;
};

/// Hash for tables. It has no seed, so every process computes the same value.
struct flow_address_hash {
  std::size_t operator()(const flow_address &Flow) const {
    const auto Pack = [](const ipv4_endpoint &Endpoint) {
      return static_cast<std::uint64_t>(Endpoint.Address) << 16U | Endpoint.Port;
    };
    return mixHash(Pack(Flow.Caller), Pack(Flow.Service));
  }
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_ADDRESS_H
