#ifndef BRIARPOINT_FORWARD_RESPONSE_TIME_H
#define BRIARPOINT_FORWARD_RESPONSE_TIME_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// Time from a caller's request to the target's answer. Keeps a moving average and the lowest
/// average seen so far, which serves as the target's response time without queueing.
class response_time {
public:
  /// Weight of a new sample in the average.
  static constexpr double SampleWeight = 1.0 / 16;
  /// The average is valid after this many samples and until MaxAge after the last one.
  static constexpr std::uint32_t MinSamples = 12;
  static constexpr duration MaxAge = std::chrono::seconds(5);
  /// The lowest average grows by this factor with each sample, so that it follows a lasting change
  /// of the work per request.
  static constexpr double LowestMeanGrowth = 1.002;

  void add(duration Sample, instant Now);

  bool valid(instant Now) const { return Samples >= MinSamples && Now < ValidUntil; }
  double meanSeconds() const { return Mean; }
  /// Ratio of the average to the lowest one, 1 or more.
  double slowdown() const { return LowestMean > 0 ? Mean / LowestMean : 1; }

private:
  /// In seconds.
  double Mean = 0;
  double LowestMean = 0;
  std::uint32_t Samples = 0;
  instant ValidUntil{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_RESPONSE_TIME_H
