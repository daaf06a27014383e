#ifndef BRIARPOINT_FORWARD_TARGET_HEALTH_H
#define BRIARPOINT_FORWARD_TARGET_HEALTH_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// What the callers' packets say about a target. Answers go from the target to the caller directly,
/// so a balancer infers them: a caller that repeats a packet has no answer, and a caller whose
/// acknowledgement advances has one.
class target_health {
public:
  /// Repeated packets without an answer in between after which a target is suspected. One
  /// may be a lost datagram.
  static constexpr std::uint32_t SuspectAfterRepeats = 2;
  /// Distinct flows and time without an answer after which flows of a silent target are ended.
  static constexpr std::uint32_t DeadAfterFlows = 2;
  static constexpr duration DeadAfter = std::chrono::milliseconds(1000);
  /// A suspicion lapses this long after the last repeat, so that a target without flows is tried
  /// again.
  static constexpr duration SuspicionTime = std::chrono::milliseconds(3000);

  /// A caller has an answer from the target.
  void answered();

  /// A caller of the target repeated a packet. \p FlowEpoch is the epoch at which this flow last
  /// reported a repeat; the return value is the new one.
  std::uint32_t repeated(std::uint32_t FlowEpoch, instant Now);

  /// The target should get no new flows.
  bool suspected(instant Now) const { return Repeats >= SuspectAfterRepeats && Now < LapsesAt; }

  /// Several flows have waited so long that their callers are better off with new flows.
  bool dead(instant Now) const {
    return suspected(Now) && Flows >= DeadAfterFlows && Now >= DeadAt;
  }

  std::uint32_t repeats() const { return Repeats; }

private:
  /// Incremented with each answer, so that flows are counted once between two answers.
  std::uint32_t Epoch = 1;
  std::uint32_t Repeats = 0;
  std::uint32_t Flows = 0;
  instant DeadAt = Never;
  instant LapsesAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_HEALTH_H
