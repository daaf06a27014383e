#include "net/endpoint.h"

#include <charconv>

namespace briarpoint {

std::optional<endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;

  std::string_view Host = Text.substr(0, Colon);
  const bool Bracketed = Host.size() >= 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  const std::optional<ip_address> Address = parseIpAddress(Host);
  // An IPv6 address without brackets would make the port ambiguous.
  if (!Address || Address->IsV6 != Bracketed)
    return std::nullopt;

  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Error] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error != std::errc() || End != PortText.data() + PortText.size() || Port == 0)
    return std::nullopt;
  return endpoint{*Address, Port};
}

std::string toString(const endpoint &Endpoint) {
  const std::string Host = toString(Endpoint.Address);
  const std::string Port = std::to_string(Endpoint.Port);
  return Endpoint.Address.IsV6 ? "[" + Host + "]:" + Port : Host + ":" + Port;
}

} // namespace briarpoint
