#include "forward/inferred_health.h"

#include <algorithm>

namespace briarpoint {

void inferred_health::onFlowAssigned(instant Now) {
  if (OverdueFrom != Never && Now < OverdueUntil)
    return;
  OverdueFrom = Now + HandshakeTimeout;
  OverdueUntil = OverdueFrom + HandshakeBackoff * (1U << BackoffExponent);
  BackoffExponent = std::min(BackoffExponent + 1, MaxBackoffExponent);
}

void inferred_health::onAnswer() {
  OverdueFrom = Never;
  OverdueUntil = instant{};
  BackoffExponent = 0;
  if (Repeats == 0)
    return;
  Repeats = 0;
  restartRecentRepeats();
}

void inferred_health::restartRecentRepeats() {
  ++Epoch;
  RecentRepeats = 0;
  RepeatingFlows = 0;
}

std::uint32_t inferred_health::onRepeat(std::uint32_t FlowEpoch, instant Now) {
  // Repeats before the end of a suspicion are no evidence about the present state, so counting
  // restarts.
  if (Repeats > 0 && Now >= LastRepeatAt + SuspicionLifetime)
    onAnswer();
  else if (Repeats > 0 && Now >= LastRepeatAt + DeadEvidenceLifetime)
    restartRecentRepeats();
  ++Repeats;
  if (RecentRepeats++ == 0)
    FirstRepeatAt = Now;
  if (FlowEpoch != Epoch)
    ++RepeatingFlows;
  LastRepeatAt = Now;
  return Epoch;
}

} // namespace briarpoint
