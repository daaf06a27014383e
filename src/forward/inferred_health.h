#ifndef BRIARPOINT_FORWARD_INFERRED_HEALTH_H
#define BRIARPOINT_FORWARD_INFERRED_HEALTH_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// Health of a target as inferred from callers' packets (a passive health check). Answers go from
/// the target directly to the caller, so a balancer never receives them: a caller that repeats a
/// packet has received no answer, and a caller whose acknowledgement advances has received one.
class inferred_health {
public:
  /// Repeated packets without an answer in between after which a target is suspected. A single
  /// repeat may be due to a lost datagram.
  static constexpr std::uint32_t SuspectAfterRepeats = 2;
  /// A target counts as dead after repeats by this many flows without an answer, with at least this
  /// time between the first and the last repeat. Callers repeat after 200 and 600 ms, and a working
  /// target with a full queue answers after about 200 ms, so it answers some caller within that
  /// time.
  static constexpr std::uint32_t DeadAfterFlows = 2;
  static constexpr duration DeadAfterFlowsSpan = std::chrono::milliseconds(350);
  /// The same for repeats that may all be from one flow. Its caller repeats after 200, 600 and
  /// 1,400 ms, and at the third repeat it still has time for another attempt.
  static constexpr std::uint32_t DeadAfterRepeats = 3;
  static constexpr duration DeadAfterRepeatsSpan = std::chrono::milliseconds(1100);
  /// Repeats end flows for this time. Callers that gave up don't repeat, so older ones don't show
  /// that the target still answers no caller. Repeats further apart don't count together either: an
  /// answer in between is seen only if its caller sends again through this balancer.
  static constexpr duration DeadEvidenceLifetime = std::chrono::milliseconds(1000);
  /// The same for a target that is gone. It is longer than the time for which a reset waits for
  /// proof that the target's entry is current.
  static constexpr duration SilentEvidenceLifetime = std::chrono::milliseconds(2000);
  /// A suspicion ends this long after the last repeat, so that a target without flows is tried
  /// again.
  static constexpr duration SuspicionLifetime = std::chrono::milliseconds(3000);

  /// Time for which a repeat must stay without an answer before it is reported to other balancers.
  /// Callers of an overloaded target wait up to 300 ms, 100 ms more than until their repeat, so
  /// that overload alone causes few reports.
  static constexpr duration UnansweredTime = std::chrono::milliseconds(100);

  /// Time within which a caller completes a handshake. Packets take a few milliseconds; the rest is
  /// room for slow instances. A target refuses flows directly to the caller, so a balancer can only
  /// detect that handshakes aren't completed.
  static constexpr duration HandshakeTimeout = std::chrono::milliseconds(30);
  /// A target with an overdue handshake is avoided for this time, which doubles with each further
  /// one until it is 2^MaxBackoffExponent times as long. This way a target that has recovered is
  /// tried again at the cost of few flows.
  static constexpr duration HandshakeBackoff = std::chrono::milliseconds(1000);
  static constexpr std::uint32_t MaxBackoffExponent = 3;

  /// A new flow was assigned to the target.
  void onFlowAssigned(instant Now);

  /// A caller has received an answer from the target.
  void onAnswer();

  /// A handshake wasn't completed within HandshakeTimeout, no caller has received an answer since,
  /// and the backoff isn't over.
  bool handshakeOverdue(instant Now) const { return Now >= OverdueFrom && Now < OverdueUntil; }

  /// A caller of the target repeated a packet. \p FlowEpoch is the value that the previous call for
  /// this flow returned, or 0; returns the current epoch.
  std::uint32_t onRepeat(std::uint32_t FlowEpoch, instant Now);

  /// The target should get no new flows.
  bool suspected(instant Now) const {
    return Repeats >= SuspectAfterRepeats && Now < LastRepeatAt + SuspicionLifetime;
  }

  /// Callers repeated packets recently. Flows should be reset if the target is gone, too.
  bool silent(instant Now) const {
    return RecentRepeats >= SuspectAfterRepeats && Now < LastRepeatAt + SilentEvidenceLifetime;
  }

  /// The target answers none of its callers, so their flows should be reset.
  bool dead(instant Now) const {
    const duration Span = LastRepeatAt - FirstRepeatAt;
    return RecentRepeats >= SuspectAfterRepeats && Now < LastRepeatAt + DeadEvidenceLifetime &&
           ((RepeatingFlows >= DeadAfterFlows && Span >= DeadAfterFlowsSpan) ||
            (RecentRepeats >= DeadAfterRepeats && Span >= DeadAfterRepeatsSpan));
  }

  /// Callers repeated packets recently, and no answer has been seen since the first repeat.
  bool unanswered(instant Now) const {
    return RecentRepeats > 0 && Now >= FirstRepeatAt + UnansweredTime &&
           Now < LastRepeatAt + DeadEvidenceLifetime;
  }

  /// Number of flows with repeats since the last answer that count together.
  std::uint32_t repeatingFlows() const { return RepeatingFlows; }

  /// Number of repeats since the last answer.
  std::uint32_t repeats() const { return Repeats; }

private:
  /// Starts to count the repeats that can show that the target is dead.
  void restartRecentRepeats();

  /// Incremented whenever RepeatingFlows starts at 0, so that it counts each flow once.
  std::uint32_t Epoch = 1;
  std::uint32_t Repeats = 0;
  /// Repeats since the last answer of which each came within DeadEvidenceLifetime after the
  /// previous one, the number of their flows, and the time of the first one.
  std::uint32_t RecentRepeats = 0;
  std::uint32_t RepeatingFlows = 0;
  instant FirstRepeatAt{};
  instant LastRepeatAt{};
  /// Deadline of the oldest handshake in progress; Never if there is none.
  instant OverdueFrom = Never;
  /// End of the backoff.
  instant OverdueUntil{};
  /// Number of doublings of the next backoff; reset by an answer.
  std::uint32_t BackoffExponent = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_INFERRED_HEALTH_H
