#ifndef BRIARPOINT_STANDINS_PLATFORM_FAULTS_H
#define BRIARPOINT_STANDINS_PLATFORM_FAULTS_H

#include <cstdint>

namespace briarpoint::standins {

/// Faults that the object API can simulate.
struct platform_faults {
  /// Every call is answered with 503 and has no effect.
  bool Down = false;
  /// Every call is answered with 429 and has no effect.
  bool RateLimited = false;
  /// Writes take effect but are never answered.
  bool LosePutAnswers = false;
  /// Calls are neither answered nor take effect.
  bool Hang = false;
  /// Watches are refused with 410, as if their history had been discarded.
  bool HistoryGone = false;
  /// Delay of each answer in milliseconds.
  std::uint32_t DelayMs = 0;
  /// Delay in milliseconds until a change of the list of instances becomes visible.
  std::uint32_t InstancesLagMs = 0;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_FAULTS_H
