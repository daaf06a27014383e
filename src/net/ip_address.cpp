#include "net/ip_address.h"

#include <arpa/inet.h>

namespace briarpoint {

std::optional<ip_address> parseIpAddress(std::string_view Text) {
  const std::string Copy(Text);
  ip_address Address;
  if (inet_pton(AF_INET, Copy.c_str(), Address.Bytes.data()) == 1)
    return Address;
  if (inet_pton(AF_INET6, Copy.c_str(), Address.Bytes.data()) == 1) {
    Address.IsV6 = true;
    return Address;
  }
  return std::nullopt;
}

std::string toString(const ip_address &Address) {
  std::array<char, INET6_ADDRSTRLEN> Text{};
  inet_ntop(Address.IsV6 ? AF_INET6 : AF_INET, Address.Bytes.data(), Text.data(), Text.size());
  return Text.data();
}

} // namespace briarpoint
