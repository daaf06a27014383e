#ifndef BRIARPOINT_FORWARD_PACKET_FORMAT_H
#define BRIARPOINT_FORWARD_PACKET_FORMAT_H

#include "forward/caller_packet.h"
#include "forward/target.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace briarpoint {

/// Parses and writes the packets that callers and targets exchange.
class packet_format {
public:
  virtual ~packet_format() = default;

  /// Size in bytes of the largest datagram from a caller.
  virtual std::size_t maxDatagramSize() const = 0;
  /// Size in bytes of the header of a caller's packet.
  virtual std::size_t headerSize() const = 0;
  /// Size in bytes of the header of a packet to a target, as writeHeader() writes it.
  virtual std::size_t targetHeaderSize() const = 0;

  /// Parses a caller's datagram. Returns std::nullopt if it is malformed.
  virtual std::optional<caller_packet> parse(std::span<const std::byte> Datagram) const = 0;

  /// Writes the header with which the data of \p Datagram is sent to \p Target; parse() must have
  /// accepted the datagram. Only the target's number and the token differ from the caller's header.
  virtual void writeHeader(std::span<std::byte> To, std::span<const std::byte> Datagram,
                           const target &Target) const = 0;

  /// Writes a packet to the caller that resets \p Flow. \p Acknowledged is the caller's latest
  /// acknowledgement number. Returns the size of the packet in bytes.
  virtual std::size_t writeReset(std::span<std::byte> To, const flow_address &Flow,
                                 std::uint32_t Acknowledged) const = 0;

  /// Returns the id of the request whose headers are in the data of \p Datagram, for logs; empty if
  /// there is none. The result refers to \p Datagram.
  virtual std::string_view requestId(std::span<const std::byte> Datagram) const = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_PACKET_FORMAT_H
