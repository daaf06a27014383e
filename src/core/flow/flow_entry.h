#ifndef BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H
#define BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H

#include "core/flow/flow_record.h"
#include "core/flow/silence_state.h"

namespace briarpoint {

/// Marks an unused index into a table of the data plane.
inline constexpr std::uint32_t NoIndex = 0xFFFFFFFF;
/// Index that stands for no stored setup.
inline constexpr std::uint16_t NoSetup = 0xFFFF;

/// A flow in the table of one balancer: the shared record plus deadlines of this process's clock.
/// It fits one cache line, because the entry of a random flow is usually read from main memory.
struct alignas(64) flow_entry {
  flow_id Id;
  coarse_instant Expires;
  /// The first packet at or after this time replicates the record.
  coarse_instant RefreshAt;
  /// Index into the target directory.
  std::uint32_t Target = NoIndex;
  service_id Service{};
  /// Epoch of the ownership slot when the record was last replicated to the slot's owners.
  std::uint32_t SlotEpoch = 0;
  std::uint32_t InitialSequence = 0;
  std::uint16_t Revision = 0;
  /// Index of the first packet in the setup store until the target replies.
  std::uint16_t Setup = NoSetup;
  flow_phase Phase = flow_phase::Opening;
  transport Protocol = transport::Tcp;
  /// Whether the entry is in use.
  bool Used : 1 = false;
  /// Whether this balancer is first owner.
  bool Owned : 1 = false;
  /// Whether the entry is included in its target's count of open flows.
  bool CountedAsOpen : 1 = false;
  silence_state Silence;
};

static_assert(sizeof(flow_entry) == 64);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_ENTRY_H
