#ifndef BRIARPOINT_FORWARD_CALLER_PACKET_H
#define BRIARPOINT_FORWARD_CALLER_PACKET_H

#include "forward/flow_address.h"
#include "forward/flow_token.h"

#include <compare>
#include <cstdint>

namespace briarpoint {

/// The fields of a caller's packet that the forwarding decision uses.
struct caller_packet {
  flow_address Flow;
  /// The packet opens the flow (SYN).
  bool Opens = false;
  /// The caller sends nothing after this packet (FIN or RST).
  bool Ends = false;
  std::uint32_t Sequence = 0;
  /// Sequence number that the caller expects next from the target. In a packet that opens a flow,
  /// the number of copies that the caller sent before this one.
  std::uint32_t Acknowledged = 0;
  /// The token that the caller echoes; NoToken until it has received a packet from a target.
  flow_token Token = NoToken;
  /// Payload size in bytes.
  std::uint16_t DataSize = 0;

  auto operator<=>(const caller_packet &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_CALLER_PACKET_H
