#ifndef BRIARPOINT_CORE_FLOW_SILENCE_STATE_H
#define BRIARPOINT_CORE_FLOW_SILENCE_STATE_H

#include "core/flow/coarse_instant.h"

namespace briarpoint {

/// What an owner remembers of packets that the target hasn't acknowledged or answered.
struct silence_state {
  /// Time of the first of the repeated packets.
  coarse_instant FirstRepeatAt;
  /// Sequence number that is repeated, and the caller's last acknowledgement number (TCP).
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  /// Stops at its largest value.
  std::uint8_t Repeats = 0;
  bool HasAcknowledgement = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_SILENCE_STATE_H
