#include "net/packet_view.h"

#include "net/byte_order.h"

namespace briarpoint {

namespace {

constexpr std::size_t Ipv4HeaderSize = 20;
constexpr std::size_t Ipv6HeaderSize = 40;
constexpr std::size_t TcpHeaderSize = 20;
constexpr std::size_t UdpHeaderSize = 8;
constexpr std::uint8_t Ipv6FragmentHeader = 44;
constexpr std::uint8_t IcmpProtocol = 1;
constexpr std::uint8_t Icmpv6Protocol = 58;
constexpr std::size_t IcmpHeaderSize = 8;

/// IP header fields that both versions have in common.
struct ip_fields {
  std::size_t HeaderSize = 0;
  std::size_t TotalSize = 0;
  std::uint8_t Protocol = 0;
};

[[gnu::always_inline]] inline void copyAddress(ip_address &Address, const std::byte *From,
                                               bool IsV6) noexcept {
  Address.IsV6 = IsV6;
  if (IsV6) {
    std::memcpy(Address.Bytes.data(), From, 16);
  } else {
    // A single 16-byte store, because the address is later loaded as 16 bytes at once.
    std::array<std::uint32_t, 4> Words{};
    std::memcpy(Words.data(), From, 4);
    std::memcpy(Address.Bytes.data(), Words.data(), 16);
  }
}

[[gnu::always_inline]] inline parse_error parseIpv4(std::span<const std::byte> Bytes,
                                                    ip_fields &Fields) noexcept {
  if (Bytes.size() < Ipv4HeaderSize)
    return parse_error::BadLength;
  Fields.HeaderSize = (loadU8(Bytes.data()) & 0x0FU) * std::size_t{4};
  Fields.TotalSize = loadU16(Bytes.data() + 2);
  Fields.Protocol = loadU8(Bytes.data() + 9);
  if (Fields.HeaderSize < Ipv4HeaderSize)
    return parse_error::BadHeader;
  if (Fields.TotalSize < Fields.HeaderSize)
    return parse_error::BadLength;
  // More-fragments flag or an offset.
  if ((loadU16(Bytes.data() + 6) & 0x3FFFU) != 0)
    return parse_error::Fragment;
  return parse_error::None;
}

[[gnu::always_inline]] inline parse_error parseIpv6(std::span<const std::byte> Bytes,
                                                    ip_fields &Fields) noexcept {
  if (Bytes.size() < Ipv6HeaderSize)
    return parse_error::BadLength;
  Fields.HeaderSize = Ipv6HeaderSize;
  Fields.TotalSize = Ipv6HeaderSize + loadU16(Bytes.data() + 4);
  Fields.Protocol = loadU8(Bytes.data() + 6);
  return Fields.Protocol == Ipv6FragmentHeader ? parse_error::Fragment : parse_error::None;
}

[[gnu::always_inline]] inline parse_error parseIp(std::span<const std::byte> Bytes,
                                                  ip_fields &Fields, bool &IsV6) noexcept {
  if (Bytes.empty())
    return parse_error::BadLength;
  const unsigned Version = loadU8(Bytes.data()) >> 4U;
  if (Version != 4 && Version != 6)
    return parse_error::BadHeader;
  IsV6 = Version == 6;
  return IsV6 ? parseIpv6(Bytes, Fields) : parseIpv4(Bytes, Fields);
}

parse_error parseTcp(std::span<const std::byte> Segment, packet_view &View) noexcept {
  if (Segment.size() < TcpHeaderSize)
    return parse_error::BadLength;
  const std::size_t HeaderSize = (loadU8(Segment.data() + 12) >> 4U) * std::size_t{4};
  if (HeaderSize < TcpHeaderSize)
    return parse_error::BadHeader;
  if (HeaderSize > Segment.size())
    return parse_error::BadLength;
  View.Sequence = loadU32(Segment.data() + 4);
  View.Acknowledgement = loadU32(Segment.data() + 8);
  View.Flags = loadU8(Segment.data() + 13);
  View.PayloadSize = static_cast<std::uint16_t>(Segment.size() - HeaderSize);
  return parse_error::None;
}

parse_error parseUdp(std::span<const std::byte> Datagram, packet_view &View) noexcept {
  if (Datagram.size() < UdpHeaderSize || loadU16(Datagram.data() + 4) != Datagram.size())
    return parse_error::BadLength;
  View.Sequence = 0;
  View.Acknowledgement = 0;
  View.Flags = 0;
  View.PayloadSize = static_cast<std::uint16_t>(Datagram.size() - UdpHeaderSize);
  return parse_error::None;
}

/// Reads addresses and ports. \p Bytes must contain both.
[[gnu::always_inline]] inline void copyEndpoints(std::span<const std::byte> Bytes,
                                                 std::size_t HeaderSize, bool IsV6,
                                                 endpoint &Source, endpoint &Destination) noexcept {
  const std::byte *Addresses = Bytes.data() + (IsV6 ? 8 : 12);
  copyAddress(Source.Address, Addresses, IsV6);
  copyAddress(Destination.Address, Addresses + (IsV6 ? 16 : 4), IsV6);
  Source.Port = loadU16(Bytes.data() + HeaderSize);
  Destination.Port = loadU16(Bytes.data() + HeaderSize + 2);
}

bool isTransport(std::uint8_t Protocol) noexcept {
  return Protocol == static_cast<std::uint8_t>(transport::Tcp) ||
         Protocol == static_cast<std::uint8_t>(transport::Udp);
}

} // namespace

parse_error parsePacket(std::span<const std::byte> Bytes, packet_view &View) noexcept {
  ip_fields Fields;
  bool IsV6 = false;
  if (const parse_error Error = parseIp(Bytes, Fields, IsV6); Error != parse_error::None)
    return Error;
  if (!isTransport(Fields.Protocol))
    return parse_error::UnsupportedProtocol;
  if (Fields.TotalSize > Bytes.size() || Fields.TotalSize < Fields.HeaderSize + UdpHeaderSize)
    return parse_error::BadLength;
  View.Bytes = Bytes.first(Fields.TotalSize);
  View.Protocol = static_cast<transport>(Fields.Protocol);
  View.IpHeaderSize = static_cast<std::uint16_t>(Fields.HeaderSize);
  copyEndpoints(Bytes, Fields.HeaderSize, IsV6, View.Source, View.Destination);
  const std::span<const std::byte> Segment = View.Bytes.subspan(Fields.HeaderSize);
  return View.isTcp() ? parseTcp(Segment, View) : parseUdp(Segment, View);
}

bool parseIcmpError(std::span<const std::byte> Bytes, icmp_error_view &View) noexcept {
  // The message itself.
  ip_fields Outer;
  bool IsV6 = false;
  if (parseIp(Bytes, Outer, IsV6) != parse_error::None || Outer.TotalSize > Bytes.size())
    return false;
  if (Outer.Protocol != (IsV6 ? Icmpv6Protocol : IcmpProtocol) ||
      Outer.TotalSize < Outer.HeaderSize + IcmpHeaderSize)
    return false;
  // Type 3 is destination unreachable in ICMP (RFC 792), type 1 in ICMPv6 (RFC 4443).
  if (loadU8(Bytes.data() + Outer.HeaderSize) != (IsV6 ? 1 : 3))
    return false;

  // The quoted packet, which may be truncated after 8 bytes of its transport header.
  const std::span<const std::byte> Quoted =
      Bytes.first(Outer.TotalSize).subspan(Outer.HeaderSize + IcmpHeaderSize);
  ip_fields Inner;
  bool InnerIsV6 = false;
  if (parseIp(Quoted, Inner, InnerIsV6) != parse_error::None || InnerIsV6 != IsV6 ||
      !isTransport(Inner.Protocol) || Quoted.size() < Inner.HeaderSize + UdpHeaderSize)
    return false;
  copyAddress(View.Source, Bytes.data() + (IsV6 ? 8 : 12), IsV6);
  copyEndpoints(Quoted, Inner.HeaderSize, IsV6, View.Quoted.Caller, View.Quoted.Service);
  View.Quoted.Protocol = static_cast<transport>(Inner.Protocol);
  return true;
}

} // namespace briarpoint
