#ifndef BRIARPOINT_NET_PACKET_VIEW_H
#define BRIARPOINT_NET_PACKET_VIEW_H

#include "net/flow_key.h"

#include <span>

namespace briarpoint {

/// TCP header flags (RFC 9293, section 3.1).
inline constexpr std::uint8_t TcpFin = 0x01;
inline constexpr std::uint8_t TcpSyn = 0x02;
inline constexpr std::uint8_t TcpRst = 0x04;
inline constexpr std::uint8_t TcpPsh = 0x08;
inline constexpr std::uint8_t TcpAck = 0x10;

/// Reason why a packet can't be balanced.
enum class parse_error : std::uint8_t {
  None,
  /// Shorter than its headers state, or a length field that contradicts the size.
  BadLength,
  /// Neither IPv4 nor IPv6, or a malformed header field.
  BadHeader,
  /// A fragment: ports of later fragments are unknown.
  Fragment,
  /// Neither TCP nor UDP, or an IPv6 extension header.
  UnsupportedProtocol,
};

/// A parsed IP packet with TCP or UDP. Bytes points into the parsed bytes.
struct packet_view {
  endpoint Source;
  endpoint Destination;
  transport Protocol = transport::Tcp;
  /// TCP only; 0 for UDP.
  std::uint8_t Flags = 0;
  /// Sizes in bytes of the IP header and of the payload after the transport header.
  std::uint16_t IpHeaderSize = 0;
  std::uint16_t PayloadSize = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  /// The whole IP packet without trailing bytes.
  std::span<const std::byte> Bytes;

  bool isTcp() const { return Protocol == transport::Tcp; }
  bool has(std::uint8_t Flag) const { return (Flags & Flag) != 0; }
  /// Whether this is the first segment of a TCP connection.
  bool isSetup() const { return (Flags & (TcpSyn | TcpAck | TcpRst | TcpFin)) == TcpSyn; }
  /// Payload, after the transport header.
  std::span<const std::byte> payload() const { return Bytes.last(PayloadSize); }
  /// Flow of this packet if a caller sent it.
  flow_key forwardKey() const { return {Source, Destination, Protocol}; }
  /// Flow of this packet if a target sent it.
  flow_key replyKey() const { return {Destination, Source, Protocol}; }
};

/// Parses an IPv4 or IPv6 packet with TCP or UDP. \p View is only valid if the result is None.
/// Checksums aren't verified; the target does that. Doesn't allocate or throw.
parse_error parsePacket(std::span<const std::byte> Bytes, packet_view &View) noexcept;

/// An ICMP or ICMPv6 destination-unreachable message and the packet that it quotes.
struct icmp_error_view {
  /// Sender of the message.
  ip_address Source;
  /// Source, destination and protocol of the quoted packet.
  flow_key Quoted;
};

/// Parses a destination-unreachable message that quotes at least the ports of a TCP or UDP packet.
/// Returns false for anything else.
bool parseIcmpError(std::span<const std::byte> Bytes, icmp_error_view &View) noexcept;

} // namespace briarpoint

#endif // BRIARPOINT_NET_PACKET_VIEW_H
