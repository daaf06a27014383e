#include "forward/response_time.h"

#include <algorithm>

namespace briarpoint {

void response_time::add(duration Sample, instant Now) {
  const double Seconds = std::chrono::duration<double>(Sample).count();
  // The first samples have equal weight, so that the first one doesn't dominate the average.
  ++Samples;
  Mean += (Seconds - Mean) * std::max(SampleWeight, 1.0 / Samples);
  ValidUntil = Now + MaxAge;
  if (Samples < MinSamples)
    return;
  LowestMean = LowestMean > 0 ? std::min(LowestMean * LowestMeanGrowth, Mean) : Mean;
}

} // namespace briarpoint
