#ifndef BRIARPOINT_FORWARD_TRACKED_FLOW_H
#define BRIARPOINT_FORWARD_TRACKED_FLOW_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

struct target;

/// What a balancer remembers of a flow whose packets pass through it. Forwarding doesn't need it:
/// it serves the choice of targets and the evidence about them, and may be lost at any time.
struct tracked_flow {
  /// Target that the flow was placed on or found at; nothing if the token was unknown.
  target *Target = nullptr;
  /// Last packet of the caller with data, or the packet that opened the flow.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  /// Set until the caller shows that it heard from the target.
  bool Opening = false;
  /// The caller waits for an answer to data.
  bool Waiting = false;
  /// Repeats of the present packet.
  std::uint8_t Repeats = 0;
  /// Epoch of the target's health at which this flow last reported a repeat.
  std::uint32_t HealthEpoch = 0;
  /// When the last packet that wasn't a repeat was forwarded.
  instant SentAt{};
  instant LastPacketAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TRACKED_FLOW_H
