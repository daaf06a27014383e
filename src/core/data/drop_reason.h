#ifndef BRIARPOINT_CORE_DATA_DROP_REASON_H
#define BRIARPOINT_CORE_DATA_DROP_REASON_H

#include <cstddef>
#include <cstdint>

namespace briarpoint {

/// Reason for which the data plane dropped a packet.
enum class drop_reason : std::uint8_t {
  /// Not a well-formed IP packet with TCP or UDP, or a fragment of one.
  Malformed,
  /// No service listens on the destination.
  NoService,
  /// No owner is known, because this process isn't part of a fabric yet.
  NoOwner,
  /// Handed over between balancers more than MaxHandovers times.
  TooManyHops,
  /// No record was found, but a balancer that can't be queried now may hold one.
  UnknownFlow,
  /// The target doesn't belong to the packet's service, or isn't configured any more.
  WrongService,
  /// A reply from a target that doesn't hold the flow.
  StaleReply,
  /// The flow table is full.
  TableFull,
  /// No target accepts the flow.
  NoTarget,
  /// Admission control rejected the flow setup. The caller gets an error.
  Rejected,
  Count,
};

inline constexpr std::size_t DropReasonCount = static_cast<std::size_t>(drop_reason::Count);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DROP_REASON_H
