#ifndef BRIARPOINT_CORE_TARGET_TARGET_STATUS_H
#define BRIARPOINT_CORE_TARGET_TARGET_STATUS_H

#include "base/ids.h"

namespace briarpoint {

/// Health of a target as one prober reports it.
enum class target_health : std::uint8_t {
  Healthy,
  /// Its probe answers report draining: it gets no new flows.
  Draining,
  /// Its probe answers report load shedding: it gets a reduced share of new flows.
  Shedding,
  /// Consecutive probes failed.
  Down,
};

/// Report of one prober about a target; disseminated to all balancers. For each (Target, Reporter)
/// only the report with the highest Sequence counts.
struct target_status {
  target_id Target{};
  member_id Reporter{};
  std::uint64_t Sequence = 0;
  target_health Health = target_health::Healthy;
  /// Request slots in use, in 1/255 of the target's slots. Limited to 255, also when queued
  /// requests exceed the slots.
  std::uint8_t SlotUse = 0;
  /// Open connections, as reported by the target.
  std::uint32_t Connections = 0;

  auto operator<=>(const target_status &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_STATUS_H
