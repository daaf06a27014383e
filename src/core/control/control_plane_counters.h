#ifndef BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_COUNTERS_H
#define BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_COUNTERS_H

#include <compare>
#include <cstdint>

namespace briarpoint {

/// Events of the control plane since its start.
struct control_plane_counters {
  /// Pauses of this process, each followed by a rejoin.
  std::uint64_t Pauses = 0;
  /// Reads in which the platform returned a version below the one in force.
  std::uint64_t PlatformRegressions = 0;
  /// Views that were published, and those of them with a new ownership table.
  std::uint64_t Views = 0;
  std::uint64_t OwnershipTables = 0;
  /// Full-state messages that were sent.
  std::uint64_t FullStates = 0;

  auto operator<=>(const control_plane_counters &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_COUNTERS_H
