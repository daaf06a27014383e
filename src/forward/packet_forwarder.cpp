#include "forward/packet_forwarder.h"

#include <utility>

namespace briarpoint {

namespace {

/// How often removed targets are looked for, which takes time in proportion to all targets.
constexpr duration ExpireInterval = std::chrono::seconds(5);

/// Sweeps are due every 250 ms. A balancer that made none for this long stood still; callers whose
/// packets waited meanwhile have repeated them twice, and other balancers have opened their flows.
constexpr duration PauseTime = std::chrono::milliseconds(1000);
/// Time in which a balancer that stood still reads what waited.
constexpr duration StaleTime = std::chrono::milliseconds(20);

/// Callers of the target are better off with new flows. The store's word alone isn't enough: a host
/// may go on serving for seconds after its entry has disappeared.
bool silent(const target &Target, instant Now) {
  return Target.gone(Now) ? Target.Health.suspected(Now) : Target.Health.dead(Now);
}

} // namespace

packet_forwarder::packet_forwarder(const packet_forwarder_settings &Settings, route_table &Routes,
                                   target_registry &Targets, random_source &Random,
                                   flow_observer &Observer)
    : Settings(Settings), Routes(Routes), Targets(Targets), Chooser(Random),
      Flows(Settings.MaxFlows, Observer) {}

forward_decision packet_forwarder::decide(const caller_packet &Packet, instant Now) {
  if (!ready())
    return {forward_action::Drop, forward_reason::NotReady};
  const active_route *Route = Routes.find(Packet.Flow.Service);
  if (Route == nullptr) {
    Flows.erase(Packet.Flow);
    // An end of a flow needs no answer.
    return {Packet.Ends ? forward_action::Drop : forward_action::Reset, forward_reason::NoRoute};
  }
  return Packet.Opens ? open(Packet, *Route, Now) : proceed(Packet, *Route, Now);
}

/// A target that answers a packet of long ago confuses a caller whose flow another target has.
void packet_forwarder::notePause(instant Now) {
  if (SweptAt != Never && Now - SweptAt >= PauseTime)
    StaleUntil = Now + StaleTime;
}

target *packet_forwarder::place(const caller_packet &Packet, const active_route &Route,
                                const target *Except, instant Now) {
  // All balancers choose the same service for a flow, whichever of them a repeat reaches.
  const std::string *Service =
      Route.chooseService(mixHash(flow_address_hash()(Packet.Flow), Packet.Sequence));
  return Service == nullptr ? nullptr : Chooser.choose(Targets.ofService(*Service), Except, Now);
}

/// Returns the target that probably refused the caller a moment ago: a refused caller opens another
/// flow at once, while the handshake of the first one is still incomplete here.
const target *packet_forwarder::refusedBy(const caller_packet &Packet) {
  const auto [Entry, New] = RecentOpens.try_emplace(Packet.Flow.Caller.Address, Packet.Flow);
  if (New)
    return nullptr;
  const tracked_flow *Earlier = Flows.find(std::exchange(Entry->second, Packet.Flow));
  return Earlier != nullptr && Earlier->Opening ? Earlier->Target : nullptr;
}

forward_decision packet_forwarder::open(const caller_packet &Packet, const active_route &Route,
                                        instant Now) {
  notePause(Now);
  if (Now < StaleUntil)
    return {forward_action::Drop, forward_reason::Stale};

  tracked_flow *Flow = Flows.find(Packet.Flow);
  // A flow has no target after a packet of it came with an unknown token.
  const bool Repeat = Flow != nullptr && Flow->Opening && Flow->Target != nullptr &&
                      Flow->Sequence == Packet.Sequence;
  if (!Repeat) {
    target *Chosen = place(Packet, Route, refusedBy(Packet), Now);
    if (Chosen == nullptr)
      return {forward_action::Reset, forward_reason::NoTarget};
    Flows.erase(Packet.Flow);
    Flows.add(Packet, Chosen, Now);
    Chosen->Health.placed(Now);
    return {forward_action::Forward, forward_reason::Placed, Chosen};
  }

  // Two targets that both answer would confuse the caller about the token, so a repeat goes to the
  // same target unless that one is thought dead. The first repeat alone doesn't say so: answers may
  // be late because links or this balancer are overloaded.
  Flows.observe(*Flow, Packet, Now);
  target *Current = Flow->Target;
  if (!Current->Health.suspected(Now) && Current->accepts(Now))
    return {forward_action::Forward, forward_reason::PlacedAgain, Current, Flow->Repeats};
  target *Other = place(Packet, Route, Current, Now);
  if (Other == nullptr)
    return {forward_action::Reset, forward_reason::NoTarget};
  flow_tracker::move(*Flow, Other);
  Other->Health.placed(Now);
  return {forward_action::Forward, forward_reason::PlacedAgain, Other, Flow->Repeats};
}

forward_decision packet_forwarder::proceed(const caller_packet &Packet, const active_route &Route,
                                           instant Now) {
  if (Packet.Token == NoToken)
    return {forward_action::Drop, forward_reason::Meaningless};
  target *Found = Targets.locate(Packet.Token);
  if (Found == nullptr)
    return unknownToken(Packet, Now);
  if (!Routes.allowsFlow(Route, Found->Registration.Service, Now))
    return {Packet.Ends ? forward_action::Drop : forward_action::Reset,
            forward_reason::OtherService, Found};

  // The token counts, not what this balancer remembers: a repeat may have been placed elsewhere.
  tracked_flow *Flow = Flows.find(Packet.Flow);
  if (Flow != nullptr && Flow->Target != Found)
    flow_tracker::move(*Flow, Found);
  if (Flow != nullptr)
    Flows.observe(*Flow, Packet, Now);
  else if (Packet.DataSize > 0 && !Packet.Ends)
    Flow = Flows.add(Packet, Found, Now);

  const std::uint32_t Repeats = Flow == nullptr ? 0 : Flow->Repeats;
  if (silent(*Found, Now)) {
    const forward_reason Reason =
        Found->gone(Now) ? forward_reason::TargetGone : forward_reason::TargetSilent;
    Flows.erase(Packet.Flow);
    return {Packet.Ends ? forward_action::Drop : forward_action::Reset, Reason, Found, Repeats};
  }
  if (Packet.Ends)
    Flows.erase(Packet.Flow);
  return {forward_action::Forward, forward_reason::Open, Found, Repeats};
}

forward_decision packet_forwarder::unknownToken(const caller_packet &Packet, instant Now) {
  tracked_flow *Flow = Flows.find(Packet.Flow);
  if (Flow == nullptr)
    Flow = Packet.Ends ? nullptr : Flows.add(Packet, nullptr, Now);
  else if (Flow->Target != nullptr)
    flow_tracker::move(*Flow, nullptr);
  if (Flow == nullptr || Now - Flow->SentAt < Settings.UnknownTokenTime ||
      TargetsCurrentAt <= Flow->SentAt)
    return {forward_action::Drop, forward_reason::UnknownToken};
  Flows.erase(Packet.Flow);
  return {forward_action::Reset, forward_reason::UnknownToken};
}

void packet_forwarder::sweep(instant Now, const reset_function &Reset) {
  notePause(Now);
  SweptAt = Now;
  Flows.eraseIf([&](const flow_address &Address, const tracked_flow &Flow) {
    if (Flow.LastPacketAt + Routes.idleTimeout() < Now)
      return true;
    // A caller that opens a flow repeats its packet by itself, maybe at another balancer, which may
    // have placed the flow on a target that works.
    if (Flow.Opening || Flow.Target == nullptr || !silent(*Flow.Target, Now))
      return false;
    Reset(Address, Flow);
    return true;
  });
  if (Now >= NextExpireAt) {
    Targets.expire(Now);
    NextExpireAt = Now + ExpireInterval;
  }
  RecentOpens.clear();
}

} // namespace briarpoint
