#ifndef BRIARPOINT_FORWARD_FORWARD_DECISION_H
#define BRIARPOINT_FORWARD_FORWARD_DECISION_H

#include "forward/flow_token.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace briarpoint {

struct target;

/// What happens to a packet.
enum class forward_action : std::uint8_t {
  Forward,
  /// Send the caller a reset: the flow has ended, or was never opened.
  Reset,
  Drop,
  /// Keep the packet and decide again once the routes are known.
  Postpone,
};

inline constexpr std::size_t ForwardActionCount = 4;

/// Reason of a decision. toString() depends on the order of the values.
enum class forward_reason : std::uint8_t {
  /// Forwarded: a new flow was assigned to a target.
  Placed,
  /// Forwarded: the caller repeated the packet that opens a flow.
  PlacedAgain,
  /// Forwarded: a packet of an open flow.
  Open,
  /// The balancer has no targets yet or, for a packet that opens a flow, no configuration.
  NotReady,
  /// No route for the service address.
  NoRoute,
  /// No target of the service accepts flows.
  NoTarget,
  /// No known target has the token.
  UnknownToken,
  /// The token belongs to a target of a service that the route never named.
  OtherService,
  /// The flow's target is gone (target::gone()) and callers repeat packets to it without an answer.
  TargetGone,
  /// The flow's target answers none of its callers (inferred_health::dead()).
  TargetSilent,
  /// A packet without a token that doesn't open a flow, for example the end of an unknown flow.
  Meaningless,
  /// A packet that opens a flow and was queued while this balancer's process was paused.
  Stale,
  /// Forwarded: a packet of an open flow that the routes don't allow. Another balancer may have a
  /// newer configuration that does. Dropped: a copy of a packet that opens a flow, for which there
  /// is no route; another balancer may have opened the flow by a newer configuration.
  RouteUnconfirmed,
  /// Dropped: a packet that opens a flow, while this balancer may lack an evacuation that it must
  /// have in force.
  EvacuationsUnconfirmed,
  /// All targets of the service that accept flows are warming up, and this balancer may open no
  /// flow to them now (warm_up_limiter). Dropped: a copy of a packet that opens a flow, because an
  /// earlier one may have reached a target.
  WarmUpLimit,
  /// Too little room for the service in all data centres; flow_admission rejected the new flow.
  Overload,
  /// A reader found that the flow's target answers no balancer's callers (target::foundDead()).
  TargetDead,
};

inline constexpr std::size_t ForwardReasonCount = 17;

/// Names for logs and metrics.
std::string_view toString(forward_reason Reason);
std::string_view toString(forward_action Action);

/// The decision about a packet.
struct forward_decision {
  forward_action Action = forward_action::Drop;
  forward_reason Reason = forward_reason::NotReady;
  /// Always set if the packet is forwarded; otherwise the target that the packet was meant for, or
  /// nullptr if there is none.
  target *Target = nullptr;
  /// Number of times that the caller has repeated the packet.
  std::uint32_t Repeats = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FORWARD_DECISION_H
