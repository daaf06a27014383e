#include "net/packet_builder.h"

#include "net/byte_order.h"

#include <algorithm>

namespace briarpoint {

namespace {

constexpr std::size_t TcpHeaderSize = 20;
constexpr std::size_t UdpHeaderSize = 8;
constexpr std::size_t IcmpHeaderSize = 8;
constexpr std::uint8_t IcmpProtocol = 1;
constexpr std::uint8_t Icmpv6Protocol = 58;
constexpr std::uint8_t HopLimit = 64;
constexpr std::uint16_t TcpWindowSize = 65535;
/// An ICMP error for IPv4 has at most 576 bytes (RFC 1812, section 4.3.2.3).
constexpr std::size_t MaxIcmpv4Size = 576;

std::size_t ipHeaderSize(bool IsV6) { return IsV6 ? 40 : 20; }

/// Writes an IP header for a packet of \p TotalSize bytes.
void writeIpHeader(std::byte *To, const ip_address &Source, const ip_address &Destination,
                   std::uint8_t Protocol, std::size_t TotalSize) {
  const bool IsV6 = Source.IsV6;
  std::fill_n(To, ipHeaderSize(IsV6), std::byte{0});
  if (IsV6) {
    storeU8(To, 0x60);
    storeU16(To + 4, static_cast<std::uint16_t>(TotalSize - 40));
    storeU8(To + 6, Protocol);
    storeU8(To + 7, HopLimit);
    std::memcpy(To + 8, Source.Bytes.data(), 16);
    std::memcpy(To + 24, Destination.Bytes.data(), 16);
    return;
  }
  storeU8(To, 0x45);
  storeU16(To + 2, static_cast<std::uint16_t>(TotalSize));
  // Don't fragment.
  storeU16(To + 6, 0x4000);
  storeU8(To + 8, HopLimit);
  storeU8(To + 9, Protocol);
  std::memcpy(To + 12, Source.Bytes.data(), 4);
  std::memcpy(To + 16, Destination.Bytes.data(), 4);
  storeU16(To + 10, internetChecksum({To, 20}));
}

/// Adds big-endian 16-bit words to a partial checksum; an odd last byte is padded with zero.
std::uint32_t addWords(std::span<const std::byte> Bytes, std::uint32_t Sum) {
  std::uint64_t Total = Sum;
  std::size_t I = 0;
  for (; I + 1 < Bytes.size(); I += 2)
    Total += loadU16(Bytes.data() + I);
  if (I < Bytes.size())
    Total += static_cast<std::uint32_t>(loadU8(Bytes.data() + I)) << 8U;
  while (Total > 0xFFFFFFFFU)
    Total = (Total & 0xFFFFFFFFU) + (Total >> 32U);
  return static_cast<std::uint32_t>(Total);
}

/// Partial sum of the pseudo header (RFC 9293, section 3.1; RFC 8200, section 8.1).
std::uint32_t pseudoHeaderSum(std::span<const std::byte> Packet, std::size_t HeaderSize) {
  const bool IsV6 = HeaderSize == 40 && (loadU8(Packet.data()) >> 4U) == 6;
  const std::span<const std::byte> Addresses = IsV6 ? Packet.subspan(8, 32) : Packet.subspan(12, 8);
  const std::uint8_t Protocol = loadU8(Packet.data() + (IsV6 ? 6 : 9));
  const auto Size = static_cast<std::uint32_t>(Packet.size() - HeaderSize);
  return addWords(Addresses, Protocol + (Size & 0xFFFFU) + (Size >> 16U));
}

std::size_t transportHeaderSize(transport Protocol) {
  return Protocol == transport::Tcp ? TcpHeaderSize : UdpHeaderSize;
}

built_packet buildReset(const endpoint &Source, const endpoint &Destination, std::uint8_t Flags,
                        std::uint32_t Sequence, std::uint32_t Acknowledgement) {
  built_packet Packet;
  Packet.Size = writePacket(
      {Source, Destination, transport::Tcp, Flags, Sequence, Acknowledgement, {}}, Packet.Storage);
  return Packet;
}

/// Builds an ICMP error that quotes \p Forward.
built_packet buildIcmpError(const packet_view &Forward, std::uint8_t Type, std::uint8_t Code) {
  const bool IsV6 = Forward.Source.Address.IsV6;
  const std::size_t HeaderSize = ipHeaderSize(IsV6);
  const std::size_t MaxQuoteSize =
      (IsV6 ? BuiltPacketSize : MaxIcmpv4Size) - HeaderSize - IcmpHeaderSize;
  const std::span<const std::byte> Quote =
      Forward.Bytes.first(std::min(MaxQuoteSize, Forward.Bytes.size()));

  built_packet Packet;
  Packet.Size = HeaderSize + IcmpHeaderSize + Quote.size();
  std::byte *Message = Packet.Storage.data() + HeaderSize;
  writeIpHeader(Packet.Storage.data(), Forward.Destination.Address, Forward.Source.Address,
                IsV6 ? Icmpv6Protocol : IcmpProtocol, Packet.Size);
  std::fill_n(Message, IcmpHeaderSize, std::byte{0});
  storeU8(Message, Type);
  storeU8(Message + 1, Code);
  std::copy(Quote.begin(), Quote.end(), Message + IcmpHeaderSize);
  // Only ICMPv6 includes the pseudo header.
  const std::uint32_t Sum = IsV6 ? pseudoHeaderSum(Packet.bytes(), HeaderSize) : 0;
  storeU16(Message + 2, internetChecksum(Packet.bytes().subspan(HeaderSize), Sum));
  return Packet;
}

} // namespace

std::uint16_t internetChecksum(std::span<const std::byte> Bytes, std::uint32_t Sum) {
  std::uint32_t Folded = addWords(Bytes, Sum);
  while (Folded > 0xFFFFU)
    Folded = (Folded & 0xFFFFU) + (Folded >> 16U);
  return static_cast<std::uint16_t>(~Folded);
}

std::size_t packetSize(const packet_spec &Spec) {
  return ipHeaderSize(Spec.Source.Address.IsV6) + transportHeaderSize(Spec.Protocol) +
         Spec.Payload.size();
}

std::size_t writePacket(const packet_spec &Spec, std::span<std::byte> Buffer) {
  const std::size_t HeaderSize = ipHeaderSize(Spec.Source.Address.IsV6);
  const std::size_t Size = packetSize(Spec);
  if (Size > Buffer.size() || Size > 0xFFFF)
    return 0;
  writeIpHeader(Buffer.data(), Spec.Source.Address, Spec.Destination.Address,
                static_cast<std::uint8_t>(Spec.Protocol), Size);

  // Transport header without checksum.
  std::byte *Header = Buffer.data() + HeaderSize;
  std::fill_n(Header, transportHeaderSize(Spec.Protocol), std::byte{0});
  storeU16(Header, Spec.Source.Port);
  storeU16(Header + 2, Spec.Destination.Port);
  if (Spec.Protocol == transport::Tcp) {
    storeU32(Header + 4, Spec.Sequence);
    storeU32(Header + 8, Spec.Acknowledgement);
    storeU8(Header + 12, 0x50);
    storeU8(Header + 13, Spec.Flags);
    storeU16(Header + 14, TcpWindowSize);
  } else {
    storeU16(Header + 4, static_cast<std::uint16_t>(Size - HeaderSize));
  }
  std::copy(Spec.Payload.begin(), Spec.Payload.end(), Header + transportHeaderSize(Spec.Protocol));

  const std::span<const std::byte> Packet = Buffer.first(Size);
  std::uint16_t Checksum =
      internetChecksum(Packet.subspan(HeaderSize), pseudoHeaderSum(Packet, HeaderSize));
  // A UDP checksum of 0 means "none" (RFC 768).
  if (Spec.Protocol == transport::Udp && Checksum == 0)
    Checksum = 0xFFFF;
  storeU16(Header + (Spec.Protocol == transport::Tcp ? 16 : 6), Checksum);
  return Size;
}

std::vector<std::byte> buildPacket(const packet_spec &Spec) {
  std::vector<std::byte> Bytes(packetSize(Spec));
  Bytes.resize(writePacket(Spec, Bytes));
  return Bytes;
}

built_packet buildRstToCaller(const packet_view &Forward) {
  if (Forward.has(TcpAck))
    return buildReset(Forward.Destination, Forward.Source, TcpRst, Forward.Acknowledgement, 0);
  // SYN and FIN occupy one sequence number each.
  const std::uint32_t Length =
      Forward.PayloadSize + (Forward.has(TcpSyn) ? 1U : 0U) + (Forward.has(TcpFin) ? 1U : 0U);
  return buildReset(Forward.Destination, Forward.Source, TcpRst | TcpAck, 0,
                    Forward.Sequence + Length);
}

built_packet buildRstToTarget(const packet_view &Forward) {
  const std::uint8_t Flags = TcpRst | (Forward.Flags & TcpAck);
  return buildReset(Forward.Source, Forward.Destination, Flags, Forward.Sequence,
                    Forward.has(TcpAck) ? Forward.Acknowledgement : 0);
}

built_packet buildPortUnreachable(const packet_view &Forward) {
  return Forward.Source.Address.IsV6 ? buildIcmpError(Forward, 1, 4)
                                     : buildIcmpError(Forward, 3, 3);
}

built_packet buildProhibited(const packet_view &Forward) {
  return Forward.Source.Address.IsV6 ? buildIcmpError(Forward, 1, 1)
                                     : buildIcmpError(Forward, 3, 13);
}

bool checksumsMatch(std::span<const std::byte> Packet) {
  if (Packet.size() < 20)
    return false;
  const bool IsV6 = (loadU8(Packet.data()) >> 4U) == 6;
  const std::size_t HeaderSize = IsV6 ? 40 : (loadU8(Packet.data()) & 0x0FU) * std::size_t{4};
  if (Packet.size() < HeaderSize)
    return false;
  const std::uint8_t Protocol = loadU8(Packet.data() + (IsV6 ? 6 : 9));
  const std::uint32_t Sum = Protocol == IcmpProtocol ? 0 : pseudoHeaderSum(Packet, HeaderSize);
  return (IsV6 || internetChecksum(Packet.first(HeaderSize)) == 0) &&
         internetChecksum(Packet.subspan(HeaderSize), Sum) == 0;
}

} // namespace briarpoint
