#ifndef BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H
#define BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H

#include "base/instant.h"
#include "core/flow/flow_record.h"

namespace briarpoint {

/// No index into a table of the data plane.
inline constexpr std::uint32_t NoIndex = 0xFFFFFFFF;

/// What an owner remembers of packets that the target hasn't acknowledged or answered.
struct silence_state {
  /// Time of the first of the repeated packets.
  instant Since{};
  /// Sequence number that is repeated, and the caller's last acknowledgement number (TCP).
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint16_t Repeats = 0;
  bool AcknowledgementSeen = false;
};

/// A flow as one balancer holds it: the shared record with deadlines of this process's clock. The
/// fields that each packet of a known flow needs come first, in one cache line.
struct alignas(64) flow_entry {
  flow_id Id;
  instant Expires{};
  /// The first packet from then on is replicated.
  instant RefreshAt{};
  /// Index into the target directory.
  std::uint32_t Target = NoIndex;
  service_id Service{};
  /// Epoch of the slot's owner list when the record was last replicated to it.
  std::uint32_t SlotEpoch = 0;
  std::uint32_t InitialSequence = 0;
  /// Index of the stored first packet, while the target hasn't replied.
  std::uint32_t Setup = NoIndex;
  std::uint16_t Revision = 0;
  flow_phase Phase = flow_phase::Opening;
  transport Protocol = transport::Tcp;
  silence_state Silence;
  /// Whether the entry is in its target's count of open flows.
  bool Counted = false;
  /// Whether this balancer is first owner.
  bool Owned = false;
  /// Whether the entry is in use.
  bool Used = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H
