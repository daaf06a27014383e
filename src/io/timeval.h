#ifndef BRIARPOINT_IO_TIMEVAL_H
#define BRIARPOINT_IO_TIMEVAL_H

#include "base/instant.h"

#include <sys/time.h>

namespace briarpoint {

/// Converts a duration to the type that libevent uses.
inline timeval toTimeval(duration Length) {
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
  return {Micros / 1'000'000, Micros % 1'000'000};
}

} // namespace briarpoint

#endif // BRIARPOINT_IO_TIMEVAL_H
