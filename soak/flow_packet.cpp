#include "soak/flow_packet.h"

#include "base/hash.h"
#include "net/byte_order.h"
#include "platform/packet_layout.h"

#include <cstring>

namespace briarpoint::soak {

namespace {

namespace layout = platform::layout;

/// Offset of the sum over everything but the field that both ends return.
constexpr std::size_t Sum = 3;

std::uint32_t sumOf(std::vector<std::byte> Packet) {
  storeU32(Packet.data() + Sum, 0);
  storeU32(Packet.data() + layout::Echo, 0);
  return static_cast<std::uint32_t>(
      hashBytes({reinterpret_cast<const char *>(Packet.data()), Packet.size()}));
}

} // namespace

std::vector<std::byte> encode(const flow_packet &Packet) {
  std::vector<std::byte> Result(layout::Size + Packet.Data.size());
  std::byte *To = Result.data();
  storeU8(To + layout::Flags, Packet.Flags);
  storeU16(To + layout::Length, static_cast<std::uint16_t>(Packet.Data.size()));
  storeU32(To + layout::Sequence, Packet.Sequence);
  storeU32(To + layout::Acknowledged, Packet.Acknowledged);
  storeU32(To + layout::Echo, Packet.Echo);
  storeU32(To + layout::Source, Packet.Source.Address);
  storeU16(To + layout::SourcePort, Packet.Source.Port);
  storeU32(To + layout::Destination, Packet.Destination.Address);
  storeU16(To + layout::DestinationPort, Packet.Destination.Port);
  std::memcpy(To + layout::Size, Packet.Data.data(), Packet.Data.size());
  storeU32(To + Sum, sumOf(Result));
  return Result;
}

std::optional<flow_packet> decode(std::span<const std::byte> Datagram) {
  if (Datagram.size() < layout::Size ||
      Datagram.size() != layout::Size + loadU16(Datagram.data() + layout::Length))
    return std::nullopt;
  const std::byte *From = Datagram.data();
  flow_packet Result;
  Result.Flags = loadU8(From + layout::Flags);
  Result.Sequence = loadU32(From + layout::Sequence);
  Result.Acknowledged = loadU32(From + layout::Acknowledged);
  Result.Echo = loadU32(From + layout::Echo);
  Result.Source = {loadU32(From + layout::Source), loadU16(From + layout::SourcePort)};
  Result.Destination = {loadU32(From + layout::Destination),
                        loadU16(From + layout::DestinationPort)};
  Result.Data.assign(reinterpret_cast<const char *>(From) + layout::Size,
                     Datagram.size() - layout::Size);
  Result.Intact = loadU32(From + Sum) == sumOf({Datagram.begin(), Datagram.end()});
  return Result;
}

} // namespace briarpoint::soak
