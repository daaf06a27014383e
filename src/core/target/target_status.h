#ifndef BRIARPOINT_CORE_TARGET_TARGET_STATUS_H
#define BRIARPOINT_CORE_TARGET_TARGET_STATUS_H

#include "base/ids.h"

namespace briarpoint {

/// Health of a target as its probers agree on it.
enum class target_health : std::uint8_t {
  Healthy,
  /// Says that it is draining: no new flows.
  Draining,
  /// Refuses work for now; little new work.
  Shedding,
  /// Doesn't answer.
  Down,
};

/// What one prober found about a target; spread between balancers. The highest Sequence of each
/// (Target, Reporter) counts.
struct target_status {
  target_id Target{};
  member_id Reporter{};
  std::uint64_t Sequence = 0;
  target_health Health = target_health::Healthy;
  /// Request slots in use, in 1/255 of the target's slots; may exceed the slots when requests
  /// queue, limited to 255.
  std::uint8_t SlotUse = 0;
  /// Open connections that the target reports.
  std::uint32_t Connections = 0;

  auto operator<=>(const target_status &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_STATUS_H
