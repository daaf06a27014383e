#ifndef BRIARPOINT_STANDINS_TARGET_SETTINGS_H
#define BRIARPOINT_STANDINS_TARGET_SETTINGS_H

#include "standins/target_faults.h"

#include <cstdint>
#include <string>

namespace briarpoint {

/// Settings of a simulated target.
struct target_settings {
  std::string Name;
  /// Virtual network identifier of its service; packets with another one are dropped.
  std::uint32_t Vni = 0;
  /// Number of requests served at the same time, as reported in the health response.
  std::uint32_t Slots = 2;
  target_faults Faults;

  auto operator<=>(const target_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TARGET_SETTINGS_H
