#ifndef BRIARPOINT_CONFIG_SETTINGS_LIMITS_H
#define BRIARPOINT_CONFIG_SETTINGS_LIMITS_H

#include "base/instant.h"

#include <compare>

namespace briarpoint {

/// Limits of the resources and time that other systems can take from this process.
struct settings_limits {
  /// Maximum number of connections, and maximum body size, that the operators' HTTP server accepts.
  std::uint32_t OperatorConnections = 64;
  std::uint32_t OperatorBodyBytes = 4'000'000;
  /// Time after which an unfinished request of an operator is ended.
  duration OperatorTimeout = std::chrono::seconds(30);
  /// Time after which a call to the platform counts as unanswered.
  duration PlatformTimeout = std::chrono::seconds(2);
  /// Time that a watch waits at the platform. A watch is one call, so a longer time means fewer
  /// calls.
  duration PlatformWatchTimeout = std::chrono::seconds(30);

  auto operator<=>(const settings_limits &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_SETTINGS_LIMITS_H
