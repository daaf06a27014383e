#include "core/target/passive_health.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Failures in a row that count as a fault of the target; single ones happen to healthy targets.
constexpr std::uint32_t FailureLimit = 3;
constexpr duration ShortestPenalty = std::chrono::seconds(1);
constexpr std::uint32_t MaxDoublings = 6;

} // namespace

void passive_health::handle(const target_observation &Observation, random_source &Random,
                            instant Now) {
  const std::uint32_t Failed = Observation.Refused + Observation.TimedOut + Observation.Silent;
  // More successes than failures: the target works, although it may refuse some.
  if (Observation.Accepted > Failed) {
    Failures = 0;
    Failing = false;
    if (Failed == 0 && !isPenalized(Now))
      Strikes = 0;
    return;
  }
  Failures += Failed;
  if (Failed == 0 || Failures < FailureLimit)
    return;
  Failing = true;
  if (isPenalized(Now))
    return;
  // Exponential backoff with full jitter, so that balancers don't return together.
  const duration Longest = ShortestPenalty * (1U << std::min(++Strikes, MaxDoublings));
  PenaltyUntil = Now + ShortestPenalty +
                 duration(static_cast<duration::rep>(
                     Random.below(static_cast<std::uint64_t>(Longest.count()))));
}

} // namespace briarpoint
