#ifndef BRIARPOINT_CORE_DATA_DROP_REASON_H
#define BRIARPOINT_CORE_DATA_DROP_REASON_H

#include <cstddef>
#include <cstdint>

namespace briarpoint {

/// Why the data plane dropped a packet.
enum class drop_reason : std::uint8_t {
  /// Not a well-formed IP packet with TCP or UDP (fragments included).
  Malformed,
  /// No service listens on the destination.
  NoService,
  /// No owner is known; this process isn't part of a fabric yet.
  NoOwner,
  /// Handed over too often.
  TooManyHops,
  /// No record, and the flow may be known where this balancer can't ask now.
  UnknownFlow,
  /// Target and service don't belong together, or the target isn't configured any more.
  WrongService,
  /// A reply from a target that doesn't hold the flow.
  StaleReply,
  /// The flow table is full.
  TableFull,
  /// No target takes new flows.
  NoTarget,
  /// Admission control rejected the flow setup; the caller was told.
  Rejected,
  Count,
};

inline constexpr std::size_t DropReasonCount = static_cast<std::size_t>(drop_reason::Count);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DROP_REASON_H
