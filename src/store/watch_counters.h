#ifndef BRIARPOINT_STORE_WATCH_COUNTERS_H
#define BRIARPOINT_STORE_WATCH_COUNTERS_H

#include "store/object_api.h"

#include <array>
#include <cstdint>

namespace briarpoint {

/// Numbers of calls of an object_watcher since its start.
struct watch_counters {
  std::uint64_t Lists = 0;
  std::uint64_t StaleLists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t StaleWatches = 0;
  std::uint64_t Checks = 0;
  /// By call_outcome.
  std::array<std::uint64_t, CallOutcomeCount> Outcomes{};

  auto operator<=>(const watch_counters &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_WATCH_COUNTERS_H
