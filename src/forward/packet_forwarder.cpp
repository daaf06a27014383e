#include "forward/packet_forwarder.h"

#include <utility>

namespace briarpoint {

namespace {

/// Interval at which removed targets are erased. Looking for them takes time in proportion to the
/// number of all targets.
constexpr duration ExpireInterval = std::chrono::seconds(5);

/// A balancer that hasn't swept for this long, although sweeps are due every 250 ms, was paused.
/// Callers whose packets were queued during the pause have repeated them twice, and other balancers
/// have opened their flows.
constexpr duration MinPause = std::chrono::milliseconds(1000);
/// Time in which a balancer reads the packets that were queued during a pause.
constexpr duration StalePeriod = std::chrono::milliseconds(20);

/// Returns whether flows of the target should be reset. A missing entry isn't sufficient evidence:
/// a host may continue to serve for seconds after its entry has disappeared from the store.
bool unresponsive(const target &Target, instant Now) {
  return Target.gone(Now) ? Target.Health.silent(Now) : Target.Health.dead(Now);
}

/// Reason for a reset of a flow whose target is unresponsive.
forward_reason reasonOfReset(const target &Target, instant Now) {
  if (!unresponsive(Target, Now))
    return forward_reason::TargetDead;
  return Target.gone(Now) ? forward_reason::TargetGone : forward_reason::TargetSilent;
}

/// Action for a packet whose flow can't be served. The end of a flow needs no answer.
forward_action refusal(const caller_packet &Packet) {
  return Packet.Ends ? forward_action::Drop : forward_action::Reset;
}

} // namespace

packet_forwarder::packet_forwarder(const packet_forwarder_settings &Settings, route_table &Routes,
                                   target_registry &Targets, random_source &Random,
                                   flow_observer &Observer, const forwarding_features &Features)
    : Settings(Settings), Routes(Routes), Targets(Targets), Chooser(Random, Features.WarmUp),
      Flows(Settings.MaxFlows, Observer), Evacuations(Features.Evacuations) {}

forward_decision packet_forwarder::decide(const caller_packet &Packet, instant ReceivedAt,
                                          instant Now) {
  if (!forwardsOpenFlows())
    return {forward_action::Drop, forward_reason::NotReady};
  const active_route *Route = Routes.find(Packet.Flow.Service);
  // When all balancers start at once, for example after a loss of power, reading a large
  // configuration takes longer than reading the targets. Open flows need not wait for it.
  if (Routes.version() == 0)
    return Packet.Opens ? forward_decision{forward_action::Postpone, forward_reason::NotReady}
                        : forwardOpenFlow(Packet, Route, Now);
  // A packet without a token belongs to no open flow.
  if (Route == nullptr && (Packet.Opens || Packet.Token == NoToken)) {
    if (Packet.Opens && mayBeOpenElsewhere(Packet, ReceivedAt, Now) &&
        !Routes.isCurrentAsOf(ReceivedAt)) {
      requestProof(ReceivedAt);
      return {forward_action::Drop, forward_reason::RouteUnconfirmed};
    }
    Flows.erase(Packet.Flow);
    return {refusal(Packet), forward_reason::NoRoute};
  }
  return Packet.Opens ? openFlow(Packet, *Route, ReceivedAt, Now)
                      : forwardOpenFlow(Packet, Route, Now);
}

/// Returns whether another balancer may have opened the flow of an opening packet by now: through
/// an earlier copy, or because the packet was postponed and its caller has repeated it.
bool packet_forwarder::mayBeOpenElsewhere(const caller_packet &Packet, instant ReceivedAt,
                                          instant Now) {
  return Packet.Acknowledged > 0 || ReceivedAt < Now;
}

/// Marks queued packets as stale after a pause. If a target answered such a packet, the caller
/// would receive its token although the flow is by now at another target.
void packet_forwarder::detectPause(instant Now) {
  if (SweptAt == Never || Now - SweptAt < MinPause)
    return;
  StaleUntil = Now + StalePeriod;
  ResumingUntil = Now + Settings.MaxProofTime;
  EvacuationsDueAt = Never;
}

bool packet_forwarder::awaitsEvacuations(instant Now) {
  if (Evacuations == nullptr)
    return false;
  if (Evacuations->isCurrentAsOf(Now - Settings.MaxEvacuationAge)) {
    EvacuationsDueAt = Never;
    return false;
  }
  // Without contact there is no proof, and a data centre that is cut off must go on serving. A call
  // that timed out during a pause of this process doesn't show a loss of contact.
  if (Evacuations->contactLost() && Now >= ResumingUntil) {
    EvacuationsDueAt = Never;
    return false;
  }
  if (EvacuationsDueAt == Never)
    EvacuationsDueAt = Now + Settings.MaxProofTime;
  requestProof(EvacuationsDueAt - Settings.MaxProofTime);
  return Now < EvacuationsDueAt;
}

const std::string *packet_forwarder::chooseService(const caller_packet &Packet,
                                                   const active_route &Route) {
  // The hash makes all balancers choose the same service for a flow, since a repeat may reach
  // another balancer.
  return Route.chooseService(mixHash(flow_address_hash()(Packet.Flow), Packet.Sequence));
}

bool packet_forwarder::admits(const caller_packet &Packet, const active_route &Route, instant Now) {
  if (Admission == nullptr)
    return true;
  const std::string *Service = chooseService(Packet, Route);
  return Service == nullptr ||
         Admission->admits(*Service, Route.Route.Priority, Packet.Flow.Caller.Address, Now);
}

target *packet_forwarder::chooseTarget(const caller_packet &Packet, const active_route &Route,
                                       const target *Avoided, instant Now) {
  const std::string *Service = chooseService(Packet, Route);
  return Service == nullptr ? nullptr
                            : Chooser.choose(Targets.findByService(*Service), Avoided, Now);
}

/// Returns the target that probably just refused the caller, or nullptr. A refused caller opens
/// another flow at once, while the handshake of the first one is still incomplete at this balancer.
const target *packet_forwarder::targetOfFailedOpen(const caller_packet &Packet) {
  const auto [Entry, New] = RecentOpens.try_emplace(Packet.Flow.Caller.Address, Packet.Flow);
  if (New)
    return nullptr;
  const tracked_flow *Earlier = Flows.find(std::exchange(Entry->second, Packet.Flow));
  return Earlier != nullptr && Earlier->Opening ? Earlier->Target : nullptr;
}

forward_decision packet_forwarder::refuseOpen(const caller_packet &Packet,
                                              const active_route &Route, bool Copy,
                                              instant Now) const {
  const std::string *Service = chooseService(Packet, Route);
  if (Service == nullptr)
    return {forward_action::Reset, forward_reason::NoTarget};
  const std::span<target *const> Candidates = Targets.findByService(*Service);
  if (std::none_of(Candidates.begin(), Candidates.end(),
                   [Now](const target *Target) { return Target->acceptsFlows(Now); }))
    return {forward_action::Reset, forward_reason::NoTarget};
  // A target that accepts flows is left out of the choice only for its warm-up. A reset would tell
  // the caller that no target has received the flow.
  return {Copy ? forward_action::Drop : forward_action::Reset, forward_reason::WarmUpLimit};
}

forward_decision packet_forwarder::openFlow(const caller_packet &Packet, const active_route &Route,
                                            instant ReceivedAt, instant Now) {
  detectPause(Now);
  if (Now < StaleUntil)
    return {forward_action::Drop, forward_reason::Stale};
  if (awaitsEvacuations(Now))
    return {forward_action::Drop, forward_reason::EvacuationsUnconfirmed};

  tracked_flow *Flow = Flows.find(Packet.Flow);
  // A flow has no target if one of its packets had an unknown token.
  const bool Repeat = Flow != nullptr && Flow->Opening && Flow->Target != nullptr &&
                      Flow->Sequence == Packet.Sequence;
  if (!Repeat) {
    // An earlier copy may have reached a target, so a copy isn't rejected.
    const bool Copy = mayBeOpenElsewhere(Packet, ReceivedAt, Now);
    if (!Copy && !admits(Packet, Route, Now))
      return {forward_action::Reset, forward_reason::Overload};
    target *Chosen = chooseTarget(Packet, Route, targetOfFailedOpen(Packet), Now);
    if (Chosen == nullptr)
      return refuseOpen(Packet, Route, Copy, Now);
    Flows.erase(Packet.Flow);
    if (tracked_flow *Added = Flows.add(Packet, Chosen, Now))
      flow_tracker::onForwarded(*Added, Packet, Now);
    Chosen->Health.onFlowAssigned(Now);
    return {forward_action::Forward, forward_reason::Placed, Chosen};
  }

  // If two targets answered, the caller would receive two different tokens, so a repeat goes to the
  // same target unless that one is suspected. A first repeat alone doesn't make it suspected:
  // answers may be late because links or this balancer are overloaded. Reports of other balancers
  // do.
  Flows.observe(*Flow, Packet, Now);
  target *Current = Flow->Target;
  if (!Current->Health.suspected(Now) && !Current->reported(Now) && !Current->foundDead(Now) &&
      Current->acceptsFlows(Now)) {
    flow_tracker::onForwarded(*Flow, Packet, Now);
    return {forward_action::Forward, forward_reason::PlacedAgain, Current, Flow->Repeats};
  }
  target *Other = chooseTarget(Packet, Route, Current, Now);
  if (Other == nullptr) {
    const forward_decision Refusal = refuseOpen(Packet, Route, true, Now);
    // The flow has already been counted at its target.
    if (Refusal.Reason != forward_reason::WarmUpLimit || !Current->acceptsFlows(Now))
      return Refusal;
    flow_tracker::onForwarded(*Flow, Packet, Now);
    return {forward_action::Forward, forward_reason::PlacedAgain, Current, Flow->Repeats};
  }
  flow_tracker::reassign(*Flow, Other);
  flow_tracker::onForwarded(*Flow, Packet, Now);
  Other->Health.onFlowAssigned(Now);
  return {forward_action::Forward, forward_reason::PlacedAgain, Other, Flow->Repeats};
}

forward_decision packet_forwarder::forwardOpenFlow(const caller_packet &Packet,
                                                   const active_route *Route, instant Now) {
  if (Packet.Token == NoToken)
    return {forward_action::Drop, forward_reason::Meaningless};
  detectPause(Now);
  target *Found = Targets.findByToken(Packet.Token);
  if (Found == nullptr)
    return handleUnknownToken(Packet, Now);
  const bool Allowed =
      Routes.version() == 0 ||
      (Route != nullptr && Routes.allowsFlow(*Route, Found->Registration.Service, Now));
  tracked_flow *Flow = trackOpenFlow(Packet, *Found, Allowed, Now);
  const std::uint32_t Repeats = Flow == nullptr ? 0 : Flow->Repeats;

  if (!Allowed && Flow != nullptr) {
    if (Routes.isCurrentAsOf(Flow->RouteMismatchAt)) {
      // The flow stays tracked, so that a copy of the packet is refused, too.
      flow_tracker::reassign(*Flow, nullptr);
      return {refusal(Packet),
              Route == nullptr ? forward_reason::NoRoute : forward_reason::OtherService, Found,
              Repeats};
    }
    requestProof(Flow->RouteMismatchAt);
  }
  if ((unresponsive(*Found, Now) || provenDead(*Found, Now)) && hasCurrentTarget(Flow, Now)) {
    Flows.erase(Packet.Flow);
    // A balancer that started after the target's entry was removed gives the token to another one.
    if (Targets.releaseToken(*Found) != nullptr)
      return forwardOpenFlow(Packet, Route, Now);
    return {refusal(Packet), reasonOfReset(*Found, Now), Found, Repeats};
  }
  if (Packet.Ends)
    Flows.erase(Packet.Flow);
  else if (Flow != nullptr)
    flow_tracker::onForwarded(*Flow, Packet, Now);
  return {forward_action::Forward,
          Allowed ? forward_reason::Open : forward_reason::RouteUnconfirmed, Found, Repeats};
}

tracked_flow *packet_forwarder::trackOpenFlow(const caller_packet &Packet, target &Found,
                                              bool Allowed, instant Now) {
  tracked_flow *Flow = Flows.find(Packet.Flow);
  // The token takes precedence over the tracked target, because another balancer may have assigned
  // a repeat of the opening packet to a different target.
  const bool Reassigned = Flow != nullptr && Flow->Target != &Found;
  if (Reassigned)
    flow_tracker::reassign(*Flow, &Found);
  // A repeat that waited while this process was paused isn't one that the target left unanswered.
  if (Flow != nullptr && Now < StaleUntil)
    Flow->ForwardedAt = Never;
  if (Flow != nullptr)
    Flows.observe(*Flow, Packet, Now);
  else if ((Packet.DataSize > 0 || !Allowed) && !Packet.Ends)
    Flow = Flows.add(Packet, &Found, Now);
  if (Flow == nullptr)
    return nullptr;
  // This packet acknowledges what the target sent in reply to another balancer.
  if (Reassigned)
    Flow->Answered = false;
  if (Allowed)
    Flow->RouteMismatchAt = Never;
  else
    Flow->RouteMismatchAt = std::min(Flow->RouteMismatchAt, Now);
  if (!Flow->Answered && Flow->Repeats > 0)
    requestProof(Flow->SentAt);
  return Flow;
}

bool packet_forwarder::hasCurrentTarget(const tracked_flow *Flow, instant Now) {
  if (Flow == nullptr)
    return false;
  if (Flow->Answered || Flow->SentAt < TargetsCurrentAt ||
      Now - Flow->SentAt >= Settings.MaxProofTime)
    return true;
  requestProof(Flow->SentAt);
  return false;
}

bool packet_forwarder::provenDead(const target &Target, instant Now) const {
  if (!Target.foundDeadRecently(Now))
    return false;
  int All = 0;
  int Dead = 0;
  for (const target *Other : Targets.findByService(Target.Registration.Service)) {
    if (Other->Registration.DataCentre != Target.Registration.DataCentre || Other->gone(Now))
      continue;
    ++All;
    Dead += Other->foundDead(Now) ? 1 : 0;
  }
  return Dead <= MaxDeadShare * All;
}

forward_decision packet_forwarder::handleUnknownToken(const caller_packet &Packet, instant Now) {
  tracked_flow *Flow = Flows.find(Packet.Flow);
  if (Flow == nullptr)
    Flow = Packet.Ends ? nullptr : Flows.add(Packet, nullptr, Now);
  else if (Flow->Target != nullptr)
    flow_tracker::reassign(*Flow, nullptr);
  if (Flow == nullptr || Now - Flow->SentAt < Settings.UnknownTokenGracePeriod ||
      TargetsCurrentAt <= Flow->SentAt)
    return {forward_action::Drop, forward_reason::UnknownToken};
  Flows.erase(Packet.Flow);
  return {forward_action::Reset, forward_reason::UnknownToken};
}

void packet_forwarder::sweep(instant Now, const reset_function &Reset) {
  detectPause(Now);
  SweptAt = Now;
  // A service has many targets, and a dead target may have many flows.
  std::unordered_map<const target *, bool> Dead;
  const auto IsDead = [&](const target &Target) {
    if (!Target.foundDeadRecently(Now))
      return false;
    const auto [Entry, New] = Dead.try_emplace(&Target, false);
    if (New)
      Entry->second = provenDead(Target, Now);
    return Entry->second;
  };
  Flows.eraseIf([&](const flow_address &Address, const tracked_flow &Flow) {
    if (Flow.LastPacketAt + Routes.idleTimeout() < Now)
      return true;
    // A caller that is opening a flow repeats its packet anyway, possibly through another balancer
    // that has assigned the flow to a working target. A reset could end that flow.
    if (Flow.Opening || Flow.Target == nullptr ||
        !(unresponsive(*Flow.Target, Now) || IsDead(*Flow.Target)) || !hasCurrentTarget(&Flow, Now))
      return false;
    // The flow's next packet is sent to the new owner of the token.
    if (Targets.releaseToken(*Flow.Target) != nullptr || !Flow.Target->OwnsToken)
      return true;
    Reset(Address, Flow, reasonOfReset(*Flow.Target, Now));
    return true;
  });
  if (Now >= NextExpireAt) {
    Targets.expire(Now);
    NextExpireAt = Now + ExpireInterval;
  }
  RecentOpens.clear();
}

} // namespace briarpoint
