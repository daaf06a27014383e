#include "core/target/passive_health.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Consecutive failures that count as a fault of the target. Healthy targets have single ones.
constexpr std::uint32_t FailureLimit = 3;
constexpr duration MinPenalty = std::chrono::seconds(1);
/// Limits the bound of the jitter: 1 s doubled 6 times is 64 s.
constexpr std::uint32_t MaxDoublings = 6;

} // namespace

void passive_health::handle(const target_observation &Observation, random_source &Random,
                            instant Now) {
  const std::uint32_t Failed = Observation.Refused + Observation.TimedOut + Observation.Silent;
  // More successes than failures: the target works, although it may refuse some setups.
  if (Observation.Accepted > Failed) {
    Failures = 0;
    Failing = false;
    if (Failed == 0 && !isPenalized(Now))
      Penalties = 0;
    return;
  }
  Failures += Failed;
  if (Failed == 0 || Failures < FailureLimit)
    return;
  Failing = true;
  if (isPenalized(Now))
    return;
  // Exponential backoff with full jitter: the balancers don't restore the weight at the same time.
  const duration JitterBound = MinPenalty * (1U << std::min(++Penalties, MaxDoublings));
  PenaltyUntil = Now + MinPenalty +
                 duration(static_cast<duration::rep>(
                     Random.below(static_cast<std::uint64_t>(JitterBound.count()))));
}

} // namespace briarpoint
