#ifndef BRIARPOINT_SOAK_FLOW_PACKET_H
#define BRIARPOINT_SOAK_FLOW_PACKET_H

#include "forward/flow_address.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarpoint::soak {

/// A packet between a caller and a host, in the platform's packet layout.
struct flow_packet {
  unsigned char Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  std::uint32_t Echo = 0;
  ipv4_endpoint Source;
  ipv4_endpoint Destination;
  std::string Data;
  /// False if the checksum doesn't match: the packet was changed on its way, or a forwarder wrote
  /// it.
  bool ChecksumValid = true;
};

/// Writes the packet with its checksum; ignores ChecksumValid.
std::vector<std::byte> encode(const flow_packet &Packet);
/// Returns nothing if the datagram is malformed.
std::optional<flow_packet> decode(std::span<const std::byte> Datagram);

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_FLOW_PACKET_H
