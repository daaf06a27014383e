#ifndef BRIARPOINT_FORWARD_PACKET_FORWARDER_H
#define BRIARPOINT_FORWARD_PACKET_FORWARDER_H

#include "forward/caller_packet.h"
#include "forward/flow_tracker.h"
#include "forward/forward_decision.h"
#include "forward/route_table.h"
#include "forward/target_chooser.h"
#include "forward/target_registry.h"

#include <functional>
#include <unordered_map>

namespace briarpoint {

/// Settings of packet_forwarder.
struct packet_forwarder_settings {
  /// Flows that are followed at most; a tracked flow takes about 120 bytes.
  std::size_t MaxFlows = 20'000;
  /// Time for which packets with an unknown token are dropped before the flow is reset. The target
  /// may have registered a moment ago; the caller repeats its packet meanwhile.
  duration UnknownTokenTime = std::chrono::milliseconds(1500);
};

/// Decides about each packet of a caller: which target takes it, or what the caller is told.
class packet_forwarder {
public:
  /// All must outlive the object.
  packet_forwarder(const packet_forwarder_settings &Settings, route_table &Routes,
                   target_registry &Targets, random_source &Random, flow_observer &Observer);

  forward_decision decide(const caller_packet &Packet, instant Now);

  /// Resets flows whose target is gone, so that their callers don't wait for it, and forgets idle
  /// flows. \p Reset is called with each flow to reset and what is known of it.
  using reset_function = std::function<void(const flow_address &, const tracked_flow &)>;
  void sweep(instant Now, const reset_function &Reset);

  /// There is a configuration, a complete list of targets was read, and it named some.
  bool ready() const { return Routes.version() != 0 && TargetsKnown && Targets.size() > 0; }
  void setTargetsLoaded() { TargetsKnown = true; }

  /// The store's answer of this time told about all targets. A flow with an unknown token is reset
  /// only if the store has answered since: otherwise its target may be one that isn't known yet.
  void setTargetsCurrentAt(instant At) { TargetsCurrentAt = At; }

  std::size_t trackedFlows() const { return Flows.size(); }

private:
  forward_decision open(const caller_packet &Packet, const active_route &Route, instant Now);
  forward_decision proceed(const caller_packet &Packet, const active_route &Route, instant Now);
  forward_decision unknownToken(const caller_packet &Packet, instant Now);
  target *place(const caller_packet &Packet, const active_route &Route, const target *Except,
                instant Now);
  const target *refusedBy(const caller_packet &Packet);
  void notePause(instant Now);

  packet_forwarder_settings Settings;
  route_table &Routes;
  target_registry &Targets;
  target_chooser Chooser;
  flow_tracker Flows;
  /// The last flow that each caller's address opened since the last sweep.
  std::unordered_map<std::uint32_t, flow_address> RecentOpens;
  bool TargetsKnown = false;
  instant TargetsCurrentAt{};
  instant NextExpireAt{};
  /// Never before the first sweep.
  instant SweptAt = Never;
  instant StaleUntil{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_PACKET_FORWARDER_H
