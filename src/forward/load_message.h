#ifndef BRIARPOINT_FORWARD_LOAD_MESSAGE_H
#define BRIARPOINT_FORWARD_LOAD_MESSAGE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Identifies a service and a data centre of its targets in messages: 32 bits of the hash of both
/// names. Two of 64 pairs have the same key with a probability of 5e-7; then their loads are added.
using load_key = std::uint32_t;
load_key loadKey(std::string_view Service, std::string_view DataCentre);

/// What one forwarder reports of a service and data centre.
struct load_report_entry {
  load_key Key = 0;
  std::uint16_t InProgress = 0;
  std::uint16_t OpenFlows = 0;
  /// Since the last report.
  std::uint16_t Answered = 0;
  std::uint16_t Rejected = 0;

  auto operator<=>(const load_report_entry &) const = default;
};

/// Load that a forwarder reports to its reader (message type 7).
struct load_report {
  /// The sender sees pressure.
  bool Pressure = false;
  /// Time since the sender's last report in milliseconds, for the counts of the entries.
  std::uint16_t IntervalMs = 0;
  std::vector<load_report_entry> Entries;

  auto operator<=>(const load_report &) const = default;
};

/// Pooled load of a service and data centre, scaled to all forwarders.
struct load_summary_entry {
  load_key Key = 0;
  std::uint32_t InProgress = 0;
  std::uint32_t OpenFlows = 0;
  /// In a summary interval.
  std::uint32_t Answered = 0;
  std::uint32_t Rejected = 0;

  auto operator<=>(const load_summary_entry &) const = default;
};

/// Pooled load that a reader distributes through a tree of forwarders (message type 8).
struct load_summary {
  std::uint32_t Round = 0;
  /// The receivers report, too.
  bool Active = false;
  /// Time between two summaries in milliseconds.
  std::uint16_t IntervalMs = 0;
  /// Number of forwarders that share the load.
  std::uint16_t Forwarders = 0;
  std::vector<load_summary_entry> Entries;
  /// relayTag() of the forwarders that pass on the summary of the next round.
  std::vector<std::uint16_t> NextRelays;
  /// IPv4 addresses (host byte order) of the forwarders to which the receiver passes it on.
  std::vector<std::uint32_t> Slice;

  auto operator<=>(const load_summary &) const = default;
};

/// Maximum number of entries of a message.
inline constexpr std::size_t MaxLoadEntries = 64;
/// Maximum size of a message in bytes. With the headers of IP and UDP, it fits into an MTU of 1500.
inline constexpr std::size_t MaxLoadMessageSize = 1400;
inline constexpr std::size_t LoadSummaryHeaderSize = 18;
inline constexpr std::size_t LoadSummaryEntrySize = 16;
/// Maximum number of entries of NextRelays: the inner nodes of a tree with a fan-out of 12 and
/// three levels.
inline constexpr std::size_t MaxNextRelays = 156;

/// Short hash of an IPv4 address, by which a summary names forwarders in 2 bytes.
std::uint16_t relayTag(std::uint32_t Address);

/// Returns the message as bytes in network byte order: protocol identifier (3 bytes), type (1),
/// flags (1; bit 0 is Pressure), interval (2), number of entries (1), and the entries (12 each).
std::string writeLoadReport(const load_report &Report);

/// Returns the message as bytes in network byte order: protocol identifier (3 bytes), type (1),
/// flags (1; bit 0 is Active), round (4), interval (2), forwarders (2), number of entries (1),
/// number of tags (2), number of addresses (2), then entries (16 each: key 4, the others 3), tags
/// (2 each) and addresses (4 each).
std::string writeLoadSummary(const load_summary &Summary);

/// Return std::nullopt if the bytes are not a valid message.
std::optional<load_report> parseLoadReport(std::string_view Bytes);
std::optional<load_summary> parseLoadSummary(std::string_view Bytes);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_LOAD_MESSAGE_H
