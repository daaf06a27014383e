#ifndef BRIARPOINT_CORE_FLOW_FLOW_RECORD_H
#define BRIARPOINT_CORE_FLOW_FLOW_RECORD_H

#include "base/ids.h"
#include "core/flow/flow_phase.h"
#include "net/flow_id.h"

namespace briarpoint {

/// State of a flow that is replicated between its owners. It contains no points in time, because
/// the clocks of processes differ; each receiver computes its own deadlines.
struct flow_record {
  flow_id Id;
  target_id Target{};
  service_id Service{};
  /// Sequence number of the SYN; distinguishes flows on the same 5-tuple. 0 for UDP.
  std::uint32_t InitialSequence = 0;
  /// Seconds from sending the record until it expires if the flow isn't used.
  std::uint32_t RemainingSeconds = 0;
  /// Incremented by the first owner at each change of phase or target; wraps around.
  std::uint16_t Revision = 0;
  flow_phase Phase = flow_phase::Opening;
  transport Protocol = transport::Tcp;

  auto operator<=>(const flow_record &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_RECORD_H
