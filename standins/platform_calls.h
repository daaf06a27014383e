#ifndef BRIARPOINT_STANDINS_PLATFORM_CALLS_H
#define BRIARPOINT_STANDINS_PLATFORM_CALLS_H

#include <cstdint>

namespace briarpoint::standins {

/// Calls that the object API received since its start, and pending watches.
struct platform_calls {
  /// Gets, lists and watches, counted on arrival.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Watches that have not been answered yet.
  std::uint64_t WaitingWatches = 0;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_CALLS_H
