#ifndef BRIARPOINT_FORWARD_RESPONSE_TIME_H
#define BRIARPOINT_FORWARD_RESPONSE_TIME_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// How long callers wait for a target's answers: a moving average, and the best that the target has
/// shown, which its own queue doesn't lengthen.
class response_time {
public:
  /// Share of a new sample in the average.
  static constexpr double Weight = 1.0 / 16;
  /// Samples before the average says anything, and the time after which it no longer does.
  static constexpr std::uint32_t MinSamples = 12;
  static constexpr duration MaxAge = std::chrono::seconds(5);
  /// Rise of the best average with each sample, so that it follows a change of the work in the end.
  static constexpr double BestRise = 1.002;

  void add(duration Time, instant Now);

  bool known(instant Now) const { return Samples >= MinSamples && Now < KnownUntil; }
  /// In seconds.
  double mean() const { return Mean; }
  /// Average against the best one, 1 or more.
  double stretch() const { return Best > 0 ? Mean / Best : 1; }

private:
  double Mean = 0;
  double Best = 0;
  std::uint32_t Samples = 0;
  instant KnownUntil{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_RESPONSE_TIME_H
