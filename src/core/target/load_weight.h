#ifndef BRIARPOINT_CORE_TARGET_LOAD_WEIGHT_H
#define BRIARPOINT_CORE_TARGET_LOAD_WEIGHT_H

#include "base/instant.h"

#include <cstdint>
#include <span>

namespace briarpoint {

/// Smallest weight that load alone gives a target; it must keep getting some flows to show that it
/// recovered.
inline constexpr double MinLoadWeight = 0.1;

/// Load weight of one target, with the state that damps it.
struct load_weight {
  /// Merged reports: slot use (1.0 = all slots) and connections; Reported is false without them.
  bool Reported = false;
  double SlotUse = 0;
  double Connections = 0;
  /// Smoothed slot use per connection, and the steps it was taken from.
  double Cost = 0;
  std::uint32_t Steps = 0;
  /// Result, from MinLoadWeight to 1.
  double Weight = 1.0;
  /// True while the target is treated as slower than the others.
  bool Engaged = false;
  /// Until then the cost is averaged over few steps only, because older ones mislead.
  instant SettledAt = instant::min();
  /// When the present deviation will have lasted long enough to change Engaged.
  instant SwitchAt = Never;
};

/// Moves the weights of a service's targets towards equal slot use. Call it once a second.
///
/// The cost of a connection (slot use per connection) doesn't depend on the weight, so a weight of
/// the others' cost divided by the own one is right at once: old reports can't make it oscillate.
/// Since it doesn't depend on the weight, it can be averaged for long, too.
/// Targets within the dead band keep weight 1, because noise of the reports would otherwise
/// unbalance equal hosts.
void adjustLoadWeights(std::span<load_weight *const> Targets, instant Now);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_LOAD_WEIGHT_H
