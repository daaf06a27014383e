#ifndef BRIARPOINT_NET_IP_ADDRESS_H
#define BRIARPOINT_NET_IP_ADDRESS_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarpoint {

/// An IPv4 or IPv6 address in network byte order. IPv4 uses the first 4 bytes, the rest is 0.
struct ip_address {
  std::array<std::uint8_t, 16> Bytes{};
  bool IsV6 = false;

  std::size_t size() const { return IsV6 ? 16 : 4; }
  auto operator<=>(const ip_address &) const = default;
};

/// Parses "192.0.2.1" or "2001:db8::1". Returns nothing if \p Text is neither.
std::optional<ip_address> parseIpAddress(std::string_view Text);

std::string toString(const ip_address &Address);

} // namespace briarpoint

#endif // BRIARPOINT_NET_IP_ADDRESS_H
