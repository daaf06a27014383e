#ifndef BRIARPOINT_FORWARD_INFERRED_HEALTH_H
#define BRIARPOINT_FORWARD_INFERRED_HEALTH_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// What the callers' packets say about a target. Answers go from the target to the caller directly,
/// so a balancer infers them: a caller that repeats a packet has no answer, and a caller whose
/// acknowledgement advances has one.
class inferred_health {
public:
  /// Repeated packets without an answer in between after which a target is suspected. One
  /// may be a lost datagram.
  static constexpr std::uint32_t SuspectAfterRepeats = 2;
  /// Distinct flows, and time between their first and last repeat without an answer, after which
  /// flows of a silent target are ended. A caller repeats after 200 and 600 ms, and a full queue of
  /// a target that works takes about 200 ms, so a target that works has answered somebody by then.
  static constexpr std::uint32_t DeadAfterFlows = 2;
  static constexpr duration DeadAfter = std::chrono::milliseconds(350);
  /// The same for a single flow, which repeats after 200, 600 and 1,400 ms: its caller has time for
  /// another try then.
  static constexpr std::uint32_t DeadAfterRepeats = 3;
  static constexpr duration DeadAfterOneFlow = std::chrono::milliseconds(1100);
  /// Callers that gave up repeat nothing, so that older repeats no longer say that nobody is
  /// answered.
  static constexpr duration DeadTime = std::chrono::milliseconds(1000);
  /// A suspicion lapses this long after the last repeat, so that a target without flows is tried
  /// again.
  static constexpr duration SuspicionTime = std::chrono::milliseconds(3000);

  /// Time in which a caller completes a handshake, with room for slow instances: packets take a few
  /// milliseconds. A target that refuses flows is known only by handshakes that aren't completed.
  static constexpr duration HandshakeTime = std::chrono::milliseconds(30);
  /// A doubt lapses after this time, doubled with each further one up to the limit, so that a
  /// target that returned is tried again at the price of few flows.
  static constexpr duration DoubtTime = std::chrono::milliseconds(1000);
  static constexpr std::uint32_t MaxDoubts = 3;

  /// A new flow was placed on the target.
  void placed(instant Now);

  /// A caller has an answer from the target.
  void answered();

  /// A handshake wasn't completed in time, and no other caller has had an answer since.
  bool handshakeOverdue(instant Now) const { return Now >= DoubtFrom && Now < DoubtUntil; }

  /// A caller of the target repeated a packet. \p FlowEpoch is the epoch at which this flow last
  /// reported a repeat; the return value is the new one.
  std::uint32_t repeated(std::uint32_t FlowEpoch, instant Now);

  /// The target should get no new flows.
  bool suspected(instant Now) const {
    return Repeats >= SuspectAfterRepeats && Now < LastRepeatAt + SuspicionTime;
  }

  /// Callers of the target are better off with new flows.
  bool dead(instant Now) const {
    const duration Span = LastRepeatAt - FirstRepeatAt;
    return Now < LastRepeatAt + DeadTime && Repeats >= SuspectAfterRepeats &&
           ((Flows >= DeadAfterFlows && Span >= DeadAfter) ||
            (Repeats >= DeadAfterRepeats && Span >= DeadAfterOneFlow));
  }

  std::uint32_t repeats() const { return Repeats; }

private:
  /// Incremented with each answer, so that flows are counted once between two answers.
  std::uint32_t Epoch = 1;
  std::uint32_t Repeats = 0;
  std::uint32_t Flows = 0;
  instant FirstRepeatAt{};
  instant LastRepeatAt{};
  /// Of the oldest handshake in progress.
  instant DoubtFrom = Never;
  instant DoubtUntil{};
  /// Doubts since the last answer.
  std::uint32_t Doubts = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_INFERRED_HEALTH_H
