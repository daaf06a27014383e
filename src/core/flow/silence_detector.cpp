#include "core/flow/silence_detector.h"

#include <limits>

namespace briarpoint {

namespace {

/// Segments that follow each other within this time form one burst. It is below the shortest
/// retransmission timeout in common use (200 ms).
constexpr duration BurstSpan = std::chrono::milliseconds(150);

} // namespace

bool silence_detector::observe(silence_state &State, const packet_view &Packet, instant Now,
                               instant &LastTargetProgress) const {
  if (Packet.isTcp())
    return observeTcp(State, Packet, Now, LastTargetProgress);
  return countRepeat(State, Now, LastTargetProgress);
}

bool silence_detector::observeTcp(silence_state &State, const packet_view &Packet, instant Now,
                                  instant &LastTargetProgress) const {
  // The flow makes progress if the caller acknowledges further bytes. The comparison is modulo
  // 2^32; an older number comes from a reordered packet.
  if (Packet.has(TcpAck)) {
    const auto Step = static_cast<std::int32_t>(Packet.Acknowledgement - State.Acknowledgement);
    if (!State.HasAcknowledgement || Step > 0) {
      // The first acknowledgement number may repeat one that an earlier owner received, so it
      // doesn't prove progress.
      if (State.HasAcknowledgement)
        LastTargetProgress = Now;
      State.HasAcknowledgement = true;
      State.Acknowledgement = Packet.Acknowledgement;
      State.Repeats = 0;
    }
  }

  // Keepalive probes carry at most 1 byte of payload and are ignored.
  if (Packet.PayloadSize < 2)
    return false;
  if (State.Repeats != 0) {
    const auto Step = static_cast<std::int32_t>(Packet.Sequence - State.Sequence);
    if (Step == 0)
      return countRepeat(State, Now, LastTargetProgress);
    // A caller retransmits the first unacknowledged segment of a burst, so later segments of the
    // burst don't replace it. Later data outside the burst means that it was acknowledged.
    if (Step > 0 && State.Repeats == 1 && -State.FirstRepeatAt.durationFrom(Now) < BurstSpan)
      return false;
  }
  State.Sequence = Packet.Sequence;
  State.Repeats = 1;
  State.FirstRepeatAt = coarse_instant(Now);
  return false;
}

bool silence_detector::countRepeat(silence_state &State, instant Now,
                                   instant LastTargetProgress) const {
  if (State.Repeats == 0)
    State.FirstRepeatAt = coarse_instant(Now);
  if (State.Repeats < std::numeric_limits<std::uint8_t>::max())
    ++State.Repeats;
  const duration RepeatSpan = -State.FirstRepeatAt.durationFrom(Now);
  // This flow made no progress since the first repeated packet, so any later progress of the target
  // was on another flow. One unit is added because RepeatSpan may be off by a unit and progress at
  // the time of the first packet doesn't count.
  return State.Repeats >= Repeats && RepeatSpan >= Span &&
         LastTargetProgress > Now - RepeatSpan + coarse_instant::Unit;
}

} // namespace briarpoint
