#ifndef BRIARPOINT_CORE_FLOW_FLOW_RECORD_H
#define BRIARPOINT_CORE_FLOW_FLOW_RECORD_H

#include "base/ids.h"
#include "core/flow/flow_phase.h"
#include "net/flow_id.h"

namespace briarpoint {

/// What the owners of a flow share about it. It holds no instants, because clocks of processes
/// differ; a receiver computes its own deadlines.
struct flow_record {
  flow_id Id;
  target_id Target{};
  service_id Service{};
  /// Sequence number of the SYN; tells flows on a reused 5-tuple apart. 0 for UDP.
  std::uint32_t InitialSequence = 0;
  /// Seconds until the record expires unless the flow is used, as of sending.
  std::uint32_t RemainingSeconds = 0;
  /// Raised by the first owner at each change of phase or target.
  std::uint16_t Revision = 0;
  flow_phase Phase = flow_phase::Opening;
  transport Protocol = transport::Tcp;

  auto operator<=>(const flow_record &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_RECORD_H
