#ifndef BRIARPOINT_CORE_SYNC_CONFIG_SETTINGS_H
#define BRIARPOINT_CORE_SYNC_CONFIG_SETTINGS_H

#include "base/instant.h"

#include <compare>
#include <cstdint>

namespace briarpoint {

/// Settings of config_controller.
struct config_settings {
  /// Timeout of a fetch from a peer.
  duration FetchTimeout = std::chrono::seconds(2);
  /// Number of failed fetches from peers after which the platform is read.
  std::uint32_t FetchAttempts = 2;
  /// How long a starting process waits for the platform's first answer.
  duration FirstReadTimeout = std::chrono::seconds(5);

  auto operator<=>(const config_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_SETTINGS_H
