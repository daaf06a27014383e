#ifndef BRIARPOINT_NET_ENDPOINT_H
#define BRIARPOINT_NET_ENDPOINT_H

#include "net/ip_address.h"

namespace briarpoint {

/// IP address and TCP or UDP port (host byte order).
struct endpoint {
  ip_address Address;
  std::uint16_t Port = 0;

  auto operator<=>(const endpoint &) const = default;
};

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80". The port must be 1 to 65535.
std::optional<endpoint> parseEndpoint(std::string_view Text);

std::string toString(const endpoint &Endpoint);

} // namespace briarpoint

#endif // BRIARPOINT_NET_ENDPOINT_H
