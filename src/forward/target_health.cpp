#include "forward/target_health.h"

namespace briarpoint {

void target_health::answered() {
  if (Repeats == 0)
    return;
  ++Epoch;
  Repeats = 0;
  Flows = 0;
  DeadAt = Never;
}

std::uint32_t target_health::repeated(std::uint32_t FlowEpoch, instant Now) {
  // A suspicion that lapsed starts anew: its repeats say nothing about the present.
  if (Repeats > 0 && Now >= LapsesAt)
    answered();
  if (Repeats++ == 0)
    DeadAt = Now + DeadAfter;
  if (FlowEpoch != Epoch)
    ++Flows;
  LapsesAt = Now + SuspicionTime;
  return Epoch;
}

} // namespace briarpoint
