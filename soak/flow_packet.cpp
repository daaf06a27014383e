#include "soak/flow_packet.h"

#include "base/hash.h"
#include "net/byte_order.h"
#include "platform/packet_layout.h"

#include <cstring>

namespace briarpoint::soak {

namespace {

namespace layout = platform::layout;

/// Offset of the checksum. It covers the whole packet except the echo field, which forwarders
/// overwrite with the flow token.
constexpr std::size_t ChecksumOffset = 3;

std::uint32_t checksum(std::vector<std::byte> Packet) {
  storeU32(Packet.data() + ChecksumOffset, 0);
  storeU32(Packet.data() + layout::Echo, 0);
  return static_cast<std::uint32_t>(
      hashBytes({reinterpret_cast<const char *>(Packet.data()), Packet.size()}));
}

} // namespace

std::vector<std::byte> encode(const flow_packet &Packet) {
  std::vector<std::byte> Result(layout::Size + Packet.Data.size());
  std::byte *Output = Result.data();
  storeU8(Output + layout::Flags, Packet.Flags);
  storeU16(Output + layout::Length, static_cast<std::uint16_t>(Packet.Data.size()));
  storeU32(Output + layout::Sequence, Packet.Sequence);
  storeU32(Output + layout::Acknowledged, Packet.Acknowledged);
  storeU32(Output + layout::Echo, Packet.Echo);
  storeU32(Output + layout::Source, Packet.Source.Address);
  storeU16(Output + layout::SourcePort, Packet.Source.Port);
  storeU32(Output + layout::Destination, Packet.Destination.Address);
  storeU16(Output + layout::DestinationPort, Packet.Destination.Port);
  std::memcpy(Output + layout::Size, Packet.Data.data(), Packet.Data.size());
  storeU32(Output + ChecksumOffset, checksum(Result));
  return Result;
}

std::optional<flow_packet> decode(std::span<const std::byte> Datagram) {
  if (Datagram.size() < layout::Size ||
      Datagram.size() != layout::Size + loadU16(Datagram.data() + layout::Length))
    return std::nullopt;
  const std::byte *Input = Datagram.data();
  flow_packet Result;
  Result.Flags = loadU8(Input + layout::Flags);
  Result.Sequence = loadU32(Input + layout::Sequence);
  Result.Acknowledged = loadU32(Input + layout::Acknowledged);
  Result.Echo = loadU32(Input + layout::Echo);
  Result.Source = {loadU32(Input + layout::Source), loadU16(Input + layout::SourcePort)};
  Result.Destination = {loadU32(Input + layout::Destination),
                        loadU16(Input + layout::DestinationPort)};
  Result.Data.assign(reinterpret_cast<const char *>(Input) + layout::Size,
                     Datagram.size() - layout::Size);
  Result.ChecksumValid =
      loadU32(Input + ChecksumOffset) == checksum({Datagram.begin(), Datagram.end()});
  return Result;
}

} // namespace briarpoint::soak
