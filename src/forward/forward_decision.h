#ifndef BRIARPOINT_FORWARD_FORWARD_DECISION_H
#define BRIARPOINT_FORWARD_FORWARD_DECISION_H

#include "forward/flow_token.h"

#include <cstdint>
#include <string_view>

namespace briarpoint {

struct target;

/// What happens to a packet.
enum class forward_action : std::uint8_t {
  Forward,
  /// The caller is told at once that the flow is over, or was never opened.
  Reset,
  Drop,
};

/// Why. The order is that of forwardReasonNames.
enum class forward_reason : std::uint8_t {
  /// Forwarded: a new flow, placed on a target.
  Placed,
  /// Forwarded: a repeat of the packet that opens a flow.
  PlacedAgain,
  /// Forwarded: a packet of an open flow.
  Open,
  /// The balancer has no configuration or no targets yet.
  NotReady,
  /// No route for the service address.
  NoRoute,
  /// No target of the service accepts flows.
  NoTarget,
  /// The token names no known target.
  UnknownToken,
  /// The token names a target of a service that the route never had.
  OtherService,
  /// The flow's target is gone.
  TargetGone,
  /// The flow's target answers nobody.
  TargetSilent,
  /// A packet of a flow for which the caller doesn't know a target, or an end of an unknown flow.
  Meaningless,
  /// A packet that opens a flow and waited while this balancer stood still.
  Stale,
};

inline constexpr std::size_t ForwardReasonCount = 12;

/// Names for logs and metrics.
std::string_view toString(forward_reason Reason);
std::string_view toString(forward_action Action);

/// The decision about a packet.
struct forward_decision {
  forward_action Action = forward_action::Drop;
  forward_reason Reason = forward_reason::NotReady;
  /// The target concerned; set if the packet is forwarded.
  target *Target = nullptr;
  /// How often the caller has repeated the packet.
  std::uint32_t Repeats = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FORWARD_DECISION_H
