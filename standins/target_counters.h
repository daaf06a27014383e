#ifndef BRIARPOINT_STANDINS_TARGET_COUNTERS_H
#define BRIARPOINT_STANDINS_TARGET_COUNTERS_H

#include <cstdint>

namespace briarpoint {

/// Counters of a simulated target.
struct target_counters {
  std::uint64_t Packets = 0;
  /// Not Geneve, or not a well-formed IP packet with TCP or UDP.
  std::uint64_t Malformed = 0;
  /// Packets with the VNI of another service.
  std::uint64_t WrongVni = 0;
  std::uint64_t FlowsOpened = 0;
  std::uint64_t FlowsRefused = 0;
  /// Mid-flow packets of unknown connections.
  std::uint64_t UnknownFlow = 0;
  std::uint64_t Requests = 0;

  auto operator<=>(const target_counters &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TARGET_COUNTERS_H
