#ifndef BRIARPOINT_CORE_FLOW_SILENCE_STATE_H
#define BRIARPOINT_CORE_FLOW_SILENCE_STATE_H

#include "core/flow/coarse_instant.h"

namespace briarpoint {

/// Per-flow state of the silence detector: packets that the target hasn't acknowledged or answered.
struct silence_state {
  /// Arrival of the first of the repeated packets.
  coarse_instant FirstRepeatAt;
  /// Repeated sequence number, and the caller's last acknowledgement number (TCP only).
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  /// Number of arrivals of the repeated packet, the first one included; saturates.
  std::uint8_t Repeats = 0;
  /// Whether Acknowledgement has been set.
  bool HasAcknowledgement = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_SILENCE_STATE_H
