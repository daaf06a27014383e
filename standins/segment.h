#ifndef BRIARPOINT_STANDINS_SEGMENT_H
#define BRIARPOINT_STANDINS_SEGMENT_H

#include "net/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarpoint {

/// Protocol of a segment.
enum class segment_kind : std::uint8_t { Tcp, Udp, Icmp };

inline constexpr std::uint8_t TcpFin = 0x01;
inline constexpr std::uint8_t TcpSyn = 0x02;
inline constexpr std::uint8_t TcpRst = 0x04;
inline constexpr std::uint8_t TcpAck = 0x10;

/// A TCP segment, UDP datagram or ICMP error with its IP header, as the stand-ins use it. The
/// stand-ins don't use the balancer's packet code, so that a fault in it can't go undetected by
/// being on both sides.
struct segment {
  segment_kind Kind = segment_kind::Tcp;
  /// For an ICMP error, source and destination are those of the quoted packet.
  endpoint Source;
  endpoint Destination;
  /// TCP only.
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  /// ICMP only.
  std::uint8_t IcmpType = 0;
  std::uint8_t IcmpCode = 0;
  std::string Payload;

  bool has(std::uint8_t Flag) const { return (Flags & Flag) != 0; }
  auto operator<=>(const segment &) const = default;
};

/// Writes a TCP or UDP segment as an IPv4 or IPv6 packet with checksums.
std::vector<std::byte> encodeSegment(const segment &Segment);

/// Parses an IP packet. Returns nothing if it is malformed or a checksum is incorrect.
std::optional<segment> parseSegment(std::span<const std::byte> Packet);

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_SEGMENT_H
