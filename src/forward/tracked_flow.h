#ifndef BRIARPOINT_FORWARD_TRACKED_FLOW_H
#define BRIARPOINT_FORWARD_TRACKED_FLOW_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

struct target;

/// State of a flow whose packets pass through this balancer. Open flows are forwarded without it:
/// it serves load balancing and passive health checks, and may be lost at any time.
struct tracked_flow {
  /// Target that the flow was assigned to or that its token belongs to; nullptr if the token was
  /// unknown.
  target *Target = nullptr;
  /// Sequence number of the caller's last packet with data, or of the packet that opened the flow.
  std::uint32_t Sequence = 0;
  /// Last acknowledgement number of the caller.
  std::uint32_t Acknowledged = 0;
  /// Set until a packet of the caller shows that it has received an answer from the target.
  bool Opening = false;
  /// The caller waits for an answer to data or to the packet that opened the flow.
  bool AwaitingAnswer = false;
  /// The caller has received an answer to a packet that this balancer forwarded to Target. So the
  /// target's entry here is the one under which the flow was opened.
  bool Answered = false;
  /// Number of repeats of the packet with this sequence number.
  std::uint8_t Repeats = 0;
  /// Result of inferred_health::onRepeat() at the last repeat; 0 before the first one.
  std::uint32_t HealthEpoch = 0;
  /// When the last packet that wasn't a repeat was received.
  instant SentAt{};
  /// When this packet, or the first of its repeats, was forwarded to Target; Never if none was.
  instant ForwardedAt = Never;
  instant LastPacketAt{};
  /// When a packet first had no route, or a target that the route doesn't allow; Never if the last
  /// packet had both.
  instant RouteMismatchAt = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TRACKED_FLOW_H
