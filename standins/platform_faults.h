#ifndef BRIARPOINT_STANDINS_PLATFORM_FAULTS_H
#define BRIARPOINT_STANDINS_PLATFORM_FAULTS_H

#include <cstdint>

namespace briarpoint::standins {

/// Faults that can be switched on at the object API.
struct platform_faults {
  /// Every call is answered with 503 and has no effect.
  bool Down = false;
  /// Every call is answered with 429 and has no effect.
  bool RateLimited = false;
  /// Puts take effect but are never answered.
  bool LosePutAnswers = false;
  /// No call is answered or takes effect.
  bool Hang = false;
  /// Watches are refused because their history is gone.
  bool HistoryGone = false;
  /// Delay of each answer in milliseconds.
  std::uint32_t DelayMs = 0;
  /// Delay after which a change of the list of instances shows, in milliseconds.
  std::uint32_t InstancesLagMs = 0;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_FAULTS_H
