#ifndef BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H
#define BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H

#include "core/flow/flow_record.h"
#include "core/flow/silence_state.h"

namespace briarpoint {

/// No index into a table of the data plane.
inline constexpr std::uint32_t NoIndex = 0xFFFFFFFF;
/// No stored setup.
inline constexpr std::uint16_t NoSetup = 0xFFFF;

/// A flow as one balancer holds it: the shared record with deadlines of this process's clock. It
/// fills one cache line, because a random flow's entry is usually in main memory.
struct alignas(64) flow_entry {
  flow_id Id;
  coarse_instant Expires;
  /// The first packet from then on is replicated.
  coarse_instant RefreshAt;
  /// Index into the target directory.
  std::uint32_t Target = NoIndex;
  service_id Service{};
  /// Epoch of the slot's owner list when the record was last replicated to it.
  std::uint32_t SlotEpoch = 0;
  std::uint32_t InitialSequence = 0;
  std::uint16_t Revision = 0;
  /// Index of the stored first packet, while the target hasn't replied.
  std::uint16_t Setup = NoSetup;
  flow_phase Phase = flow_phase::Opening;
  transport Protocol = transport::Tcp;
  /// Whether the entry is in use.
  bool Used : 1 = false;
  /// Whether this balancer is first owner.
  bool Owned : 1 = false;
  /// Whether the entry is in its target's count of open flows.
  bool CountedAsOpen : 1 = false;
  silence_state Silence;
};

static_assert(sizeof(flow_entry) == 64);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H
