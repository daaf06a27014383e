#ifndef BRIARPOINT_STANDINS_PLATFORM_CALLS_H
#define BRIARPOINT_STANDINS_PLATFORM_CALLS_H

#include <cstdint>

namespace briarpoint::standins {

/// Calls that the object API received since its start, and watches that wait now.
struct platform_calls {
  /// Gets, lists of instances, and watches when they arrive.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t WaitingWatches = 0;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_CALLS_H
