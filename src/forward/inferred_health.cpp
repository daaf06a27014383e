#include "forward/inferred_health.h"

#include <algorithm>

namespace briarpoint {

void inferred_health::placed(instant Now) {
  if (DoubtFrom != Never && Now < DoubtUntil)
    return;
  DoubtFrom = Now + HandshakeTime;
  DoubtUntil = DoubtFrom + DoubtTime * (1U << Doubts);
  Doubts = std::min(Doubts + 1, MaxDoubts);
}

void inferred_health::answered() {
  DoubtFrom = Never;
  DoubtUntil = instant{};
  Doubts = 0;
  if (Repeats == 0)
    return;
  ++Epoch;
  Repeats = 0;
  Flows = 0;
}

std::uint32_t inferred_health::repeated(std::uint32_t FlowEpoch, instant Now) {
  // A suspicion that lapsed starts anew: its repeats say nothing about the present.
  if (Repeats > 0 && Now >= LastRepeatAt + SuspicionTime)
    answered();
  if (Repeats++ == 0)
    FirstRepeatAt = Now;
  if (FlowEpoch != Epoch)
    ++Flows;
  LastRepeatAt = Now;
  return Epoch;
}

} // namespace briarpoint
