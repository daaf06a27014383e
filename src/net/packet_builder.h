#ifndef BRIARPOINT_NET_PACKET_BUILDER_H
#define BRIARPOINT_NET_PACKET_BUILDER_H

#include "net/packet_view.h"

#include <array>
#include <vector>

namespace briarpoint {

/// Fields of a TCP or UDP packet to build. Also used by tests, simulators and measurements.
struct packet_spec {
  /// Both addresses are of the same family.
  endpoint Source;
  endpoint Destination;
  transport Protocol = transport::Tcp;
  /// TCP only.
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::span<const std::byte> Payload;
};

/// Bytes that are enough for any packet that the balancer itself builds: the minimum MTU of IPv6.
inline constexpr std::size_t BuiltPacketSize = 1280;

/// A packet in storage of its own, without allocation.
struct built_packet {
  std::array<std::byte, BuiltPacketSize> Storage;
  std::size_t Size = 0;

  std::span<const std::byte> bytes() const { return {Storage.data(), Size}; }
};

/// Returns the size in bytes of the packet that \p Spec describes.
std::size_t packetSize(const packet_spec &Spec);

/// Writes the packet, with all checksums, and returns its size; 0 if \p Buffer is too small or the
/// payload exceeds the IP length field.
std::size_t writePacket(const packet_spec &Spec, std::span<std::byte> Buffer);

/// Returns the packet in a vector, which is empty if writePacket() fails. For tests and simulators.
std::vector<std::byte> buildPacket(const packet_spec &Spec);

/// Builds a RST from the service to the caller in response to \p Forward, with the sequence number
/// that RFC 9293 section 3.5.2 prescribes: the caller's acknowledgement number if it sent one.
built_packet buildRstToCaller(const packet_view &Forward);

/// Builds a RST from the caller to the target at the sequence number of \p Forward.
built_packet buildRstToTarget(const packet_view &Forward);

/// Builds an ICMP or ICMPv6 port-unreachable message from the service to the caller.
built_packet buildPortUnreachable(const packet_view &Forward);

/// Builds an ICMP or ICMPv6 message "communication administratively prohibited" from the service
/// to the caller.
built_packet buildProhibited(const packet_view &Forward);

/// Internet checksum (RFC 1071) of \p Bytes, continued from the partial sum \p Sum.
std::uint16_t internetChecksum(std::span<const std::byte> Bytes, std::uint32_t Sum = 0);

/// Returns whether the IPv4 header checksum and the TCP, UDP, ICMP or ICMPv6 checksum are right.
bool checksumsMatch(std::span<const std::byte> Packet);

} // namespace briarpoint

#endif // BRIARPOINT_NET_PACKET_BUILDER_H
