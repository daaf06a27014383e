#ifndef BRIARPOINT_FORWARD_PACKET_FORMAT_H
#define BRIARPOINT_FORWARD_PACKET_FORMAT_H

#include "forward/caller_packet.h"
#include "forward/target.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace briarpoint {

/// Reads and writes packets as callers and targets exchange them.
class packet_format {
public:
  virtual ~packet_format() = default;

  /// Largest datagram in bytes, from a caller or to a target.
  virtual std::size_t maxDatagramSize() const = 0;
  /// Size in bytes of a caller's packet without its data.
  virtual std::size_t headerSize() const = 0;
  /// Size in bytes of what writeHeader() writes.
  virtual std::size_t targetHeaderSize() const = 0;

  /// Reads a caller's datagram. Returns nothing if it is malformed.
  virtual std::optional<caller_packet> parse(std::span<const std::byte> Datagram) const = 0;

  /// Writes what goes to \p Target in place of the head of \p Datagram, which parse() accepted.
  /// Only the target's identity and the token differ from the caller's packet.
  virtual void writeHeader(std::span<std::byte> To, std::span<const std::byte> Datagram,
                           const target &Target) const = 0;

  /// Writes a reset of \p Flow towards the caller; \p Acknowledged is what the caller acknowledged
  /// last. Returns its size.
  virtual std::size_t writeReset(std::span<std::byte> To, const flow_address &Flow,
                                 std::uint32_t Acknowledged) const = 0;

  /// Returns the id of the request whose head is in the data of \p Datagram, for logs; empty if
  /// there is none.
  virtual std::string_view requestId(std::span<const std::byte> Datagram) const = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_PACKET_FORMAT_H
