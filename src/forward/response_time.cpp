#include "forward/response_time.h"

#include <algorithm>

namespace briarpoint {

void response_time::add(duration Time, instant Now) {
  const double Seconds = std::chrono::duration<double>(Time).count();
  // The first samples count equally.
  ++Samples;
  Mean += (Seconds - Mean) * std::max(Weight, 1.0 / Samples);
  KnownUntil = Now + MaxAge;
  if (Samples < MinSamples)
    return;
  Best = Best > 0 ? std::min(Best * BestRise, Mean) : Mean;
}

} // namespace briarpoint
