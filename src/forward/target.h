#ifndef BRIARPOINT_FORWARD_TARGET_H
#define BRIARPOINT_FORWARD_TARGET_H

#include "base/instant.h"
#include "forward/flow_token.h"
#include "forward/inferred_health.h"
#include "forward/response_time.h"
#include "forward/target_registration.h"

namespace briarpoint {

/// A target as this balancer knows it. Owned by target_registry.
struct target {
  target_registration Registration;
  flow_token Token = NoToken;
  /// In the balancer's own data centre.
  bool Local = false;
  /// False if another target has the same token and an older entry: a flow placed here could not
  /// be told apart from a flow of that target.
  bool OwnsToken = true;
  /// When the entry disappeared from the store; Never while it is there.
  instant RemovedAt = Never;
  /// From when a target whose entry disappeared is taken as gone rather than as lapsed.
  instant GoneAt = Never;
  /// The entry disappeared together with most others, as it happens when the store returns; so the
  /// target is probably there.
  bool Lapsed = false;
  instant WarmAt{};
  /// Open flows that this balancer forwards.
  std::uint32_t OpenFlows = 0;
  inferred_health Health;
  response_time ResponseTime;

  bool removed() const { return RemovedAt != Never; }
  bool gone(instant Now) const { return Now >= GoneAt; }
  /// May be given new flows, as far as the store says.
  bool accepts(instant Now) const { return !Registration.Draining && OwnsToken && !gone(Now); }
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_H
