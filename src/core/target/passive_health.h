#ifndef BRIARPOINT_CORE_TARGET_PASSIVE_HEALTH_H
#define BRIARPOINT_CORE_TARGET_PASSIVE_HEALTH_H

#include "base/instant.h"
#include "base/random_source.h"
#include "core/data/target_observation.h"

namespace briarpoint {

/// What this balancer's own flows show of a target. Failures reduce the target's weight for a time
/// that grows exponentially with full jitter, whatever the target reports.
class passive_health {
public:
  void handle(const target_observation &Observation, random_source &Random, instant Now);

  /// True while the weight is reduced.
  bool isPenalized(instant Now) const { return Now < PenaltyUntil; }

  /// True if flow setups failed lately and none succeeded since.
  bool isFailing() const { return Failing; }

private:
  std::uint32_t Failures = 0;
  std::uint32_t Strikes = 0;
  bool Failing = false;
  instant PenaltyUntil = instant::min();
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_PASSIVE_HEALTH_H
