#ifndef BRIARPOINT_NET_FLOW_KEY_H
#define BRIARPOINT_NET_FLOW_KEY_H

#include "net/endpoint.h"

namespace briarpoint {

/// Transport protocols that can be balanced; the values are the IP protocol numbers.
enum class transport : std::uint8_t { Tcp = 6, Udp = 17 };

/// The 5-tuple of a flow, seen from the caller. It is the same for packets of both directions.
struct flow_key {
  endpoint Caller;
  endpoint Service;
  transport Protocol = transport::Tcp;

  auto operator<=>(const flow_key &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_NET_FLOW_KEY_H
