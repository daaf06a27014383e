#ifndef BRIARPOINT_CORE_FLOW_SILENCE_DETECTOR_H
#define BRIARPOINT_CORE_FLOW_SILENCE_DETECTOR_H

#include "core/flow/flow_entry.h"
#include "net/packet_view.h"

namespace briarpoint {

/// Detects from forward packets that a target has stopped serving a flow. A flow is silent if the
/// same segment with at least 2 bytes of payload, or datagrams without a reply, arrived at least
/// Repeats times over a period of at least Span, while the same target served other flows.
class silence_detector {
public:
  silence_detector(std::uint32_t Repeats, duration Span) : Repeats(Repeats), Span(Span) {}

  /// Updates the state with a forward packet. \p LastTargetProgress is the last time at which the
  /// target served any flow; it is set to \p Now if this packet shows progress. Returns whether the
  /// flow is silent.
  bool observe(silence_state &State, const packet_view &Packet, instant Now,
               instant &LastTargetProgress) const;

  /// Updates the state with a reply to a datagram.
  static void observeReply(silence_state &State, instant Now, instant &LastTargetProgress) {
    State.Repeats = 0;
    LastTargetProgress = Now;
  }

private:
  bool observeTcp(silence_state &State, const packet_view &Packet, instant Now,
                  instant &LastTargetProgress) const;
  bool countRepeat(silence_state &State, instant Now, instant LastTargetProgress) const;

  std::uint32_t Repeats;
  duration Span;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_SILENCE_DETECTOR_H
