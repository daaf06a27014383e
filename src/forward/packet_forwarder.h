#ifndef BRIARPOINT_FORWARD_PACKET_FORWARDER_H
#define BRIARPOINT_FORWARD_PACKET_FORWARDER_H

#include "forward/caller_packet.h"
#include "forward/evacuation_table.h"
#include "forward/flow_admission.h"
#include "forward/flow_tracker.h"
#include "forward/forward_decision.h"
#include "forward/route_table.h"
#include "forward/target_chooser.h"
#include "forward/target_registry.h"

#include <algorithm>
#include <functional>
#include <unordered_map>

namespace briarpoint {

/// Settings of packet_forwarder.
struct packet_forwarder_settings {
  /// Maximum number of tracked flows. A tracked flow takes about 120 bytes.
  std::size_t MaxFlows = 20'000;
  /// Time for which packets with an unknown token are dropped before the flow is reset. The target
  /// may have registered only recently; meanwhile the caller repeats its packet.
  duration UnknownTokenGracePeriod = std::chrono::milliseconds(1500);
  /// Maximum time for which a reset of a flow with an unresponsive target waits for proof that the
  /// target's entry is current. Then the flow is reset without proof: the store doesn't answer.
  /// Packets that open flows wait for proof of the evacuations no longer, either.
  duration MaxProofTime = std::chrono::milliseconds(1500);
  /// Maximum age of the view of the evacuations with which flows are opened.
  duration MaxEvacuationAge = std::chrono::milliseconds(4700);
};

/// Optional parts of packet_forwarder; nullptr if a deployment doesn't use one.
struct forwarding_features {
  const evacuation_table *Evacuations = nullptr;
  warm_up_limiter *WarmUp = nullptr;
};

/// Decides for each packet of a caller whether it is forwarded, and to which target, dropped, or
/// answered by a reset.
class packet_forwarder {
public:
  /// All references except \p Settings and \p Features, and what \p Features refers to, must
  /// outlive the object.
  packet_forwarder(const packet_forwarder_settings &Settings, route_table &Routes,
                   target_registry &Targets, random_source &Random, flow_observer &Observer,
                   const forwarding_features &Features = {});
  forward_decision decide(const caller_packet &Packet, instant Now) {
    return decide(Packet, Now, Now);
  }
  /// The same for a packet that was received at \p ReceivedAt and postponed until \p Now.
  forward_decision decide(const caller_packet &Packet, instant ReceivedAt, instant Now);

  /// Called with the address and state of a flow to reset, and the reason.
  using reset_function =
      std::function<void(const flow_address &, const tracked_flow &, forward_reason)>;
  /// Calls \p Reset for each flow whose target no longer answers, so that its caller doesn't wait
  /// for the target. Stops tracking these flows and idle ones, and erases expired targets.
  void sweep(instant Now, const reset_function &Reset);

  /// Returns whether a complete list of targets was loaded and there are targets. An empty list
  /// means that all entries have lapsed. Open flows need no more than that, because their packets
  /// identify their targets.
  bool forwardsOpenFlows() const { return TargetsLoaded && Targets.size() > 0; }
  /// Returns whether there is also a configuration, so that flows can be opened.
  bool ready() const { return Routes.version() != 0 && forwardsOpenFlows(); }
  void setTargetsLoaded() { TargetsLoaded = true; }

  /// All entries of targets that the store had at \p At are registered. Other balancers may have
  /// opened a flow to an entry that isn't known here yet, so a flow is reset for its target only if
  /// this is later than its last packet that wasn't a repeat. For a flow that was answered through
  /// this balancer, the entry is known.
  void setTargetsCurrentAt(instant At) { TargetsCurrentAt = At; }

  /// Flows are forwarded, or packets that open flows dropped, for lack of proof that routes,
  /// targets and evacuations are current. The proof must be for a time after the returned one;
  /// instant::min() if no flow ever needed it.
  instant proofNeededAfter() const { return ProofNeededAfter; }

  /// Found dead targets are ignored for open flows if they are more than this share of a service's
  /// targets in a data centre.
  static constexpr double MaxDeadShare = 0.5;

  std::size_t trackedFlows() const { return Flows.size(); }

  /// Counts the flows and the requests in progress, see loadMeter().
  void measureLoad(instant Now) { Flows.measureLoad(Now); }
  load_meter &loadMeter() { return Flows.meter(); }
  /// Chooses targets by \p Load while it is valid. nullptr stands for no pooled load.
  void setPooledLoad(const pooled_load *Load) { Chooser.setPooledLoad(Load); }
  /// \p Decision may reject new flows; nullptr admits all of them. It must outlive the object.
  void setAdmission(flow_admission *Decision) { Admission = Decision; }
  /// Number of new flows that were assigned to another data centre because of pooled load.
  std::uint64_t spilledFlows() const { return Chooser.spilledFlows(); }

private:
  forward_decision openFlow(const caller_packet &Packet, const active_route &Route,
                            instant ReceivedAt, instant Now);
  /// Decides about a packet that opens a flow for which there is no target. \p Copy tells whether a
  /// copy of it may have reached a target.
  forward_decision refuseOpen(const caller_packet &Packet, const active_route &Route, bool Copy,
                              instant Now) const;
  /// \p Route is nullptr if the routes, if any are known, don't include the service address.
  forward_decision forwardOpenFlow(const caller_packet &Packet, const active_route *Route,
                                   instant Now);
  forward_decision handleUnknownToken(const caller_packet &Packet, instant Now);
  /// Returns the tracked flow of a packet to \p Found, after the packet was observed; nullptr if it
  /// isn't tracked. \p Allowed tells whether the routes allow the packet.
  tracked_flow *trackOpenFlow(const caller_packet &Packet, target &Found, bool Allowed,
                              instant Now);
  /// Returns whether the entry of the flow's target is at least as new as the one under which the
  /// flow was opened, or that couldn't be proven in time. \p Flow may be nullptr: nothing is known
  /// about a flow that isn't tracked.
  bool hasCurrentTarget(const tracked_flow *Flow, instant Now);
  void requestProof(instant After) { ProofNeededAfter = std::max(ProofNeededAfter, After); }
  bool admits(const caller_packet &Packet, const active_route &Route, instant Now);
  /// Returns the service for a new flow, or nullptr if there is none.
  static const std::string *chooseService(const caller_packet &Packet, const active_route &Route);
  target *chooseTarget(const caller_packet &Packet, const active_route &Route,
                       const target *Avoided, instant Now);
  const target *targetOfFailedOpen(const caller_packet &Packet);
  /// Returns whether a reader found the target dead recently and this isn't ignored: a partition
  /// makes most targets of a data centre look dead.
  bool provenDead(const target &Target, instant Now) const;
  static bool mayBeOpenElsewhere(const caller_packet &Packet, instant ReceivedAt, instant Now);
  void detectPause(instant Now);
  /// Returns whether a packet that opens a flow is to be dropped, because an evacuation may have to
  /// be in force that isn't known here.
  bool awaitsEvacuations(instant Now);

  packet_forwarder_settings Settings;
  route_table &Routes;
  target_registry &Targets;
  target_chooser Chooser;
  flow_admission *Admission = nullptr;
  flow_tracker Flows;
  const evacuation_table *Evacuations;
  /// The latest flow that each caller's address has opened since the last sweep.
  std::unordered_map<std::uint32_t, flow_address> RecentOpens;
  bool TargetsLoaded = false;
  instant TargetsCurrentAt{};
  instant ProofNeededAfter = instant::min();
  instant NextExpireAt{};
  /// Time of the last sweep; Never before the first one.
  instant SweptAt = Never;
  /// Packets that open flows are dropped until then.
  instant StaleUntil{};
  /// Until then, calls to the store may have failed only because this process was paused.
  instant ResumingUntil{};
  /// When packets that open flows no longer wait for proof of the evacuations; Never while these
  /// are current or contact with the store is lost, and before the first such packet.
  instant EvacuationsDueAt = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_PACKET_FORWARDER_H
