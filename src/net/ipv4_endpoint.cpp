#include "net/ipv4_endpoint.h"

namespace briarpoint {

endpoint toEndpoint(const ipv4_endpoint &Endpoint) {
  endpoint Result;
  for (unsigned I = 0; I < 4; ++I)
    Result.Address.Bytes[I] = static_cast<std::uint8_t>(Endpoint.Address >> (24 - 8 * I));
  Result.Port = Endpoint.Port;
  return Result;
}

std::optional<ipv4_endpoint> toIpv4Endpoint(const endpoint &Endpoint) {
  if (Endpoint.Address.IsV6)
    return std::nullopt;
  ipv4_endpoint Result;
  for (unsigned I = 0; I < 4; ++I)
    Result.Address = Result.Address << 8U | Endpoint.Address.Bytes[I];
  Result.Port = Endpoint.Port;
  return Result;
}

std::string toString(const ipv4_endpoint &Endpoint) { return toString(toEndpoint(Endpoint)); }

} // namespace briarpoint
