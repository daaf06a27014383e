#include "standins/segment.h"

#include <algorithm>
#include <cstring>

namespace briarpoint {

namespace {

constexpr std::uint8_t ProtocolIcmp = 1;
constexpr std::uint8_t ProtocolTcp = 6;
constexpr std::uint8_t ProtocolUdp = 17;
constexpr std::uint8_t ProtocolIcmpV6 = 58;
constexpr std::size_t V4HeaderSize = 20;
constexpr std::size_t V6HeaderSize = 40;
constexpr std::size_t TcpHeaderSize = 20;
constexpr std::size_t UdpHeaderSize = 8;
constexpr std::size_t IcmpHeaderSize = 8;

using bytes = std::span<const std::byte>;

std::uint16_t read16(bytes Data, std::size_t Offset) {
  return static_cast<std::uint16_t>(std::to_integer<unsigned>(Data[Offset]) << 8U |
                                    std::to_integer<unsigned>(Data[Offset + 1]));
}

std::uint32_t read32(bytes Data, std::size_t Offset) {
  return static_cast<std::uint32_t>(read16(Data, Offset)) << 16U | read16(Data, Offset + 2);
}

void write16(std::span<std::byte> Data, std::size_t Offset, std::size_t Value) {
  Data[Offset] = static_cast<std::byte>(Value >> 8U);
  Data[Offset + 1] = static_cast<std::byte>(Value);
}

void write32(std::span<std::byte> Data, std::size_t Offset, std::uint32_t Value) {
  write16(Data, Offset, Value >> 16U);
  write16(Data, Offset + 2, Value & 0xffffU);
}

std::uint64_t sumWords(bytes Data) {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I + 1 < Data.size(); I += 2)
    Sum += read16(Data, I);
  if (Data.size() % 2 != 0)
    Sum += std::to_integer<unsigned>(Data.back()) << 8U;
  return Sum;
}

std::uint16_t fold(std::uint64_t Sum) {
  while (Sum > 0xffff)
    Sum = (Sum & 0xffff) + (Sum >> 16U);
  return static_cast<std::uint16_t>(~Sum);
}

/// Checksum of a transport header and payload with the pseudo header. The result is 0 if \p Body
/// already contains the correct checksum.
std::uint16_t transportChecksum(const ip_address &Source, const ip_address &Destination,
                                std::uint8_t Protocol, bytes Body) {
  const auto View = [](const ip_address &Address) {
    return std::as_bytes(std::span(Address.Bytes)).first(Address.size());
  };
  return fold(sumWords(View(Source)) + sumWords(View(Destination)) + Protocol + Body.size() +
              sumWords(Body));
}

ip_address readAddress(bytes Data, std::size_t Offset, bool IsV6) {
  ip_address Address;
  Address.IsV6 = IsV6;
  std::memcpy(Address.Bytes.data(), &Data[Offset], Address.size());
  return Address;
}

/// The parts of an IP packet.
struct ip_parts {
  ip_address Source;
  ip_address Destination;
  std::uint8_t Protocol = 0;
  bytes Body;
};

/// \p IsComplete is false for the truncated packet that an ICMP error quotes.
std::optional<ip_parts> parseIp(bytes Packet, bool IsComplete) {
  if (Packet.empty())
    return std::nullopt;
  ip_parts Parts;
  const unsigned Version = std::to_integer<unsigned>(Packet[0]) >> 4U;
  std::size_t HeaderSize = V6HeaderSize;
  std::size_t TotalSize = 0;
  if (Version == 4 && Packet.size() >= V4HeaderSize) {
    HeaderSize = (std::to_integer<std::size_t>(Packet[0]) & 0x0fU) * 4;
    if (HeaderSize < V4HeaderSize || HeaderSize > Packet.size() ||
        fold(sumWords(Packet.first(HeaderSize))) != 0)
      return std::nullopt;
    TotalSize = read16(Packet, 2);
    Parts.Protocol = std::to_integer<std::uint8_t>(Packet[9]);
    Parts.Source = readAddress(Packet, 12, false);
    Parts.Destination = readAddress(Packet, 16, false);
  } else if (Version == 6 && Packet.size() >= V6HeaderSize) {
    TotalSize = V6HeaderSize + read16(Packet, 4);
    Parts.Protocol = std::to_integer<std::uint8_t>(Packet[6]);
    Parts.Source = readAddress(Packet, 8, true);
    Parts.Destination = readAddress(Packet, 24, true);
  } else {
    return std::nullopt;
  }
  if (TotalSize < HeaderSize || (IsComplete && TotalSize != Packet.size()))
    return std::nullopt;
  Parts.Body = Packet.subspan(HeaderSize);
  return Parts;
}

std::string toText(bytes Data) {
  return {reinterpret_cast<const char *>(Data.data()), Data.size()};
}

std::optional<segment> parseTcp(const ip_parts &Ip, bytes Body) {
  if (Body.size() < TcpHeaderSize ||
      transportChecksum(Ip.Source, Ip.Destination, ProtocolTcp, Body) != 0)
    return std::nullopt;
  const std::size_t HeaderSize = (std::to_integer<std::size_t>(Body[12]) >> 4U) * 4;
  if (HeaderSize < TcpHeaderSize || HeaderSize > Body.size())
    return std::nullopt;
  segment Result;
  Result.Source = {Ip.Source, read16(Body, 0)};
  Result.Destination = {Ip.Destination, read16(Body, 2)};
  Result.Sequence = read32(Body, 4);
  Result.Acknowledgement = read32(Body, 8);
  Result.Flags = std::to_integer<std::uint8_t>(Body[13]);
  Result.Payload = toText(Body.subspan(HeaderSize));
  return Result;
}

std::optional<segment> parseUdp(const ip_parts &Ip, bytes Body) {
  if (Body.size() < UdpHeaderSize || read16(Body, 4) != Body.size() ||
      transportChecksum(Ip.Source, Ip.Destination, ProtocolUdp, Body) != 0)
    return std::nullopt;
  segment Result;
  Result.Kind = segment_kind::Udp;
  Result.Source = {Ip.Source, read16(Body, 0)};
  Result.Destination = {Ip.Destination, read16(Body, 2)};
  Result.Payload = toText(Body.subspan(UdpHeaderSize));
  return Result;
}

std::optional<segment> parseIcmp(const ip_parts &Ip, bytes Body) {
  if (Body.size() < IcmpHeaderSize)
    return std::nullopt;
  const std::uint16_t Sum = Ip.Source.IsV6
                                ? transportChecksum(Ip.Source, Ip.Destination, ProtocolIcmpV6, Body)
                                : fold(sumWords(Body));
  const std::optional<ip_parts> Quoted = parseIp(Body.subspan(IcmpHeaderSize), false);
  if (Sum != 0 || !Quoted || Quoted->Body.size() < 4)
    return std::nullopt;
  segment Result;
  Result.Kind = segment_kind::Icmp;
  Result.Source = {Quoted->Source, read16(Quoted->Body, 0)};
  Result.Destination = {Quoted->Destination, read16(Quoted->Body, 2)};
  Result.IcmpType = std::to_integer<std::uint8_t>(Body[0]);
  Result.IcmpCode = std::to_integer<std::uint8_t>(Body[1]);
  return Result;
}

void writeIpHeader(std::span<std::byte> Packet, const segment &Segment, std::uint8_t Protocol) {
  const ip_address &Source = Segment.Source.Address;
  const ip_address &Destination = Segment.Destination.Address;
  if (Source.IsV6) {
    Packet[0] = std::byte{0x60};
    write16(Packet, 4, Packet.size() - V6HeaderSize);
    Packet[6] = static_cast<std::byte>(Protocol);
    Packet[7] = std::byte{64};
    std::memcpy(&Packet[8], Source.Bytes.data(), 16);
    std::memcpy(&Packet[24], Destination.Bytes.data(), 16);
    return;
  }
  Packet[0] = std::byte{0x45};
  write16(Packet, 2, Packet.size());
  Packet[8] = std::byte{64};
  Packet[9] = static_cast<std::byte>(Protocol);
  std::memcpy(&Packet[12], Source.Bytes.data(), 4);
  std::memcpy(&Packet[16], Destination.Bytes.data(), 4);
  write16(Packet, 10, fold(sumWords(Packet.first(V4HeaderSize))));
}

} // namespace

std::vector<std::byte> encodeSegment(const segment &Segment) {
  const bool IsTcp = Segment.Kind == segment_kind::Tcp;
  const std::uint8_t Protocol = IsTcp ? ProtocolTcp : ProtocolUdp;
  const std::size_t IpSize = Segment.Source.Address.IsV6 ? V6HeaderSize : V4HeaderSize;
  const std::size_t HeaderSize = IsTcp ? TcpHeaderSize : UdpHeaderSize;
  std::vector<std::byte> Packet(IpSize + HeaderSize + Segment.Payload.size());
  writeIpHeader(Packet, Segment, Protocol);

  const std::span<std::byte> Body = std::span(Packet).subspan(IpSize);
  write16(Body, 0, Segment.Source.Port);
  write16(Body, 2, Segment.Destination.Port);
  if (IsTcp) {
    write32(Body, 4, Segment.Sequence);
    write32(Body, 8, Segment.Acknowledgement);
    Body[12] = std::byte{0x50};
    Body[13] = static_cast<std::byte>(Segment.Flags);
    write16(Body, 14, 65535);
  } else {
    write16(Body, 4, Body.size());
  }
  std::copy_n(reinterpret_cast<const std::byte *>(Segment.Payload.data()), Segment.Payload.size(),
              Body.begin() + static_cast<std::ptrdiff_t>(HeaderSize));
  std::uint16_t Sum =
      transportChecksum(Segment.Source.Address, Segment.Destination.Address, Protocol, Body);
  // In UDP, a checksum field of 0 means that there is no checksum.
  if (!IsTcp && Sum == 0)
    Sum = 0xffff;
  write16(Body, IsTcp ? 16 : 6, Sum);
  return Packet;
}

std::optional<segment> parseSegment(std::span<const std::byte> Packet) {
  const std::optional<ip_parts> Ip = parseIp(Packet, true);
  if (!Ip)
    return std::nullopt;
  switch (Ip->Protocol) {
  case ProtocolTcp:
    return parseTcp(*Ip, Ip->Body);
  case ProtocolUdp:
    return parseUdp(*Ip, Ip->Body);
  case ProtocolIcmp:
  case ProtocolIcmpV6:
    return parseIcmp(*Ip, Ip->Body);
  default:
    return std::nullopt;
  }
}

} // namespace briarpoint
