#include "forward/flow_tracker.h"

namespace briarpoint {

tracked_flow *flow_tracker::find(const flow_address &Flow) {
  const auto Found = Flows.find(Flow);
  return Found == Flows.end() ? nullptr : &Found->second;
}

tracked_flow *flow_tracker::add(const caller_packet &Packet, target *Target, instant Now) {
  if (Flows.size() >= MaxFlows)
    return nullptr;
  tracked_flow &Flow = Flows[Packet.Flow];
  Flow.Opening = Packet.Opens;
  Flow.Waiting = Packet.Opens || Packet.DataSize > 0;
  Flow.Sequence = Packet.Sequence;
  Flow.Acknowledged = Packet.Opens ? 0 : Packet.Acknowledged;
  Flow.SentAt = Now;
  Flow.LastPacketAt = Now;
  move(Flow, Target);
  return &Flow;
}

void flow_tracker::observe(tracked_flow &Flow, const caller_packet &Packet, instant Now) {
  Flow.LastPacketAt = Now;
  const bool Repeat = Packet.Opens ? Flow.Opening && Packet.Sequence == Flow.Sequence
                                   : Flow.Waiting && !Flow.Opening && Packet.DataSize > 0 &&
                                         Packet.Sequence == Flow.Sequence &&
                                         Packet.Acknowledged == Flow.Acknowledged;
  if (Repeat) {
    if (Now - Flow.SentAt < RepeatTime)
      return;
    ++Flow.Repeats;
    if (Flow.Target != nullptr)
      Flow.HealthEpoch = Flow.Target->Health.repeated(Flow.HealthEpoch, Now);
    return;
  }
  // The end of the handshake, or an acknowledgement that advanced: the caller heard from the
  // target.
  if (!Packet.Opens && (Flow.Opening || Packet.Acknowledged != Flow.Acknowledged)) {
    if (Flow.Target != nullptr)
      Flow.Target->Health.answered();
    if (Flow.Opening)
      Observer.onOpened(Now - Flow.SentAt);
    else if (Flow.Waiting)
      takeAnswer(Flow, Now);
    Flow.Opening = false;
    Flow.Waiting = false;
  }
  Flow.Repeats = 0;
  Flow.Acknowledged = Packet.Opens ? 0 : Packet.Acknowledged;
  if (Packet.Opens || Packet.DataSize > 0) {
    Flow.Opening = Packet.Opens;
    Flow.Waiting = true;
    Flow.Sequence = Packet.Sequence;
    Flow.SentAt = Now;
  }
}

void flow_tracker::takeAnswer(const tracked_flow &Flow, instant Now) {
  Observer.onAnswered(Now - Flow.SentAt);
  // With a repeat it is open which packet was answered.
  if (Flow.Target != nullptr && Flow.Repeats == 0)
    Flow.Target->ResponseTime.add(Now - Flow.SentAt, Now);
}

void flow_tracker::move(tracked_flow &Flow, target *Target) {
  if (Flow.Target != nullptr)
    --Flow.Target->OpenFlows;
  Flow.Target = Target;
  if (Target != nullptr)
    ++Target->OpenFlows;
}

void flow_tracker::erase(const flow_address &Flow) {
  const auto Found = Flows.find(Flow);
  if (Found == Flows.end())
    return;
  move(Found->second, nullptr);
  Flows.erase(Found);
}

} // namespace briarpoint
