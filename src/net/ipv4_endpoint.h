#ifndef BRIARPOINT_NET_IPV4_ENDPOINT_H
#define BRIARPOINT_NET_IPV4_ENDPOINT_H

#include "net/endpoint.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace briarpoint {

/// IPv4 address and port in host byte order. A third of the size of an endpoint, for tables with an
/// entry per flow.
struct ipv4_endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  auto operator<=>(const ipv4_endpoint &) const = default;
};

endpoint toEndpoint(const ipv4_endpoint &Endpoint);

/// Returns nothing for an IPv6 address.
std::optional<ipv4_endpoint> toIpv4Endpoint(const endpoint &Endpoint);

std::string toString(const ipv4_endpoint &Endpoint);

} // namespace briarpoint

#endif // BRIARPOINT_NET_IPV4_ENDPOINT_H
