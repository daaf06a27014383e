#ifndef BRIARPOINT_CORE_TARGET_LOAD_WEIGHT_H
#define BRIARPOINT_CORE_TARGET_LOAD_WEIGHT_H

#include "base/instant.h"

#include <cstdint>
#include <span>

namespace briarpoint {

/// Smallest weight that load alone gives a target. Without new flows its recovery would not show in
/// the reports.
inline constexpr double MinLoadWeight = 0.1;

/// Load weight of one target, with its smoothing and hysteresis state.
struct load_weight {
  /// Merged reports: slot use (1.0 = all slots) and connections; unset unless HasReport.
  bool HasReport = false;
  double SlotUse = 0;
  double Connections = 0;
  /// Smoothed slot use per connection, and the number of steps it is averaged over.
  double Cost = 0;
  std::uint32_t Steps = 0;
  /// Resulting weight, from MinLoadWeight to 1.
  double Weight = 1.0;
  /// The target is slower than the others, so its weight is reduced.
  bool IsSlow = false;
  /// Until then the cost is averaged over few steps only, because earlier reports are misleading.
  instant SettledAt = instant::min();
  /// When IsSlow changes if the present deviation lasts; Never without a deviation.
  instant SwitchAt = Never;
};

/// Moves the weights of a service's targets towards equal slot use. Call it once a second.
///
/// The cost of a connection (slot use per connection) doesn't depend on the weight. The weight
/// (reference cost divided by the target's cost) is therefore right at once: outdated reports can't
/// make it oscillate, and the cost can be averaged over many steps.
/// Targets within the dead band keep weight 1, because noise of the reports would otherwise
/// unbalance equal hosts.
void adjustLoadWeights(std::span<load_weight *const> Targets, instant Now);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_LOAD_WEIGHT_H
