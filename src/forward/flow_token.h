#ifndef BRIARPOINT_FORWARD_FLOW_TOKEN_H
#define BRIARPOINT_FORWARD_FLOW_TOKEN_H

#include "base/hash.h"

#include <cstdint>

namespace briarpoint {

/// Identifies the target of a flow in a packet field that both ends echo. Every balancer computes
/// the same token for a target, so any of them finds the target without a record of the flow.
enum class flow_token : std::uint32_t {};

/// Token in packets whose sender hasn't received one from the other end yet. Never a target's
/// token.
inline constexpr flow_token NoToken{0};

/// Returns the token of the target with \p TargetNumber. The token has 32 bits and the number 64,
/// so two targets may share a token; target_registry resolves such collisions.
inline flow_token makeFlowToken(std::uint64_t TargetNumber) {
  // An arbitrary constant that separates this use of mixHash from others.
  constexpr std::uint64_t Domain = 0x746f6b656e;
  const auto Token = static_cast<std::uint32_t>(mixHash(Domain, TargetNumber));
  return flow_token{Token == 0 ? 1 : Token};
}

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_TOKEN_H
