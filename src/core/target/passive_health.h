#ifndef BRIARPOINT_CORE_TARGET_PASSIVE_HEALTH_H
#define BRIARPOINT_CORE_TARGET_PASSIVE_HEALTH_H

#include "base/instant.h"
#include "base/random_source.h"
#include "core/data/target_observation.h"

namespace briarpoint {

/// Passive health check of one target from this balancer's own flows. Failures reduce the target's
/// weight for a time that grows exponentially with full jitter, whatever the target reports.
class passive_health {
public:
  void handle(const target_observation &Observation, random_source &Random, instant Now);

  /// Returns true while the weight is reduced.
  bool isPenalized(instant Now) const { return Now < PenaltyUntil; }

  /// Returns true after several consecutive failures, until an observation has more successes than
  /// failures.
  bool isFailing() const { return Failing; }

private:
  /// Failures since the last observation with more successes than failures.
  std::uint32_t Failures = 0;
  /// Penalties in a row; each doubles the bound of the jitter. Reset by an observation without
  /// failures outside a penalty.
  std::uint32_t Penalties = 0;
  bool Failing = false;
  instant PenaltyUntil = instant::min();
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_PASSIVE_HEALTH_H
