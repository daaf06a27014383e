#ifndef BRIARPOINT_CORE_FLOW_SILENCE_DETECTOR_H
#define BRIARPOINT_CORE_FLOW_SILENCE_DETECTOR_H

#include "core/flow/flow_entry.h"
#include "net/packet_view.h"

namespace briarpoint {

/// Decides from forward packets whether a flow's target has stopped serving it. A flow is silent if
/// the same payload-bearing segment (2 or more bytes), or datagrams without a reply, came at least
/// Repeats times over at least Span, while the same target served other flows.
class silence_detector {
public:
  silence_detector(std::uint32_t Repeats, duration Span) : Repeats(Repeats), Span(Span) {}

  /// Takes note of a forward packet. \p LastTargetProgress is the last time at which the target was
  /// seen to serve any flow; it is set to \p Now if this packet shows progress. Returns whether the
  /// flow is silent.
  bool observe(silence_state &State, const packet_view &Packet, instant Now,
               instant &LastTargetProgress) const;

  /// Takes note of a reply to a datagram.
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
