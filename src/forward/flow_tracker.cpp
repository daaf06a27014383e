#include "forward/flow_tracker.h"

#include <algorithm>
#include <limits>

namespace briarpoint {

namespace {

/// Returns whether the flow's request may wait or run at its target. Its caller would have repeated
/// the packet by now; if no repeat has come, the caller has its answer, or its packets go through
/// another balancer since routers changed their choice. After two repeats, it hangs.
bool mayBeInProgress(const tracked_flow &Flow, instant Now) {
  const duration RepeatDelay =
      load_meter::FirstRepeatTime * (1 << std::min<int>(Flow.Repeats, load_meter::HangingRepeats));
  return Flow.AwaitingAnswer && Flow.Repeats < load_meter::HangingRepeats &&
         Now < Flow.LastPacketAt + RepeatDelay;
}

} // namespace

tracked_flow *flow_tracker::find(const flow_address &Flow) {
  const auto Found = Flows.find(Flow);
  return Found == Flows.end() ? nullptr : &Found->second;
}

tracked_flow *flow_tracker::add(const caller_packet &Packet, target *Target, instant Now) {
  if (Flows.size() >= MaxFlows)
    return nullptr;
  tracked_flow &Flow = Flows[Packet.Flow];
  Flow.Opening = Packet.Opens;
  Flow.AwaitingAnswer = Packet.Opens || Packet.DataSize > 0;
  Flow.Sequence = Packet.Sequence;
  Flow.Acknowledged = Packet.Opens ? 0 : Packet.Acknowledged;
  Flow.SentAt = Now;
  Flow.LastPacketAt = Now;
  reassign(Flow, Target);
  return &Flow;
}

void flow_tracker::observe(tracked_flow &Flow, const caller_packet &Packet, instant Now) {
  Flow.LastPacketAt = Now;
  const bool Repeat = Packet.Opens ? Flow.Opening && Packet.Sequence == Flow.Sequence
                                   : Flow.AwaitingAnswer && !Flow.Opening && Packet.DataSize > 0 &&
                                         Packet.Sequence == Flow.Sequence &&
                                         Packet.Acknowledged == Flow.Acknowledged;
  if (Repeat) {
    if (Flow.ForwardedAt == Never || Now - Flow.ForwardedAt < MinRepeatDelay)
      return;
    ++Flow.Repeats;
    if (Flow.Target != nullptr) {
      Flow.HealthEpoch = Flow.Target->Health.onRepeat(Flow.HealthEpoch, Now);
      // The target answered others meanwhile, so this request hangs.
      if (!Flow.Opening && Flow.Repeats == FailureRepeats && Flow.Target->AnsweredAt > Flow.SentAt)
        countFailure(*Flow.Target);
    }
    return;
  }
  // The end of the handshake or an acknowledgement that advanced shows that the caller has received
  // an answer.
  if (!Packet.Opens && (Flow.Opening || Packet.Acknowledged != Flow.Acknowledged)) {
    if (Flow.Target != nullptr) {
      Flow.Target->Health.onAnswer();
      Flow.Target->AnsweredAt = Now;
      Flow.Target->ReportedUntil = {};
      Flow.Target->DeadUntil = {};
    }
    if (Flow.Opening)
      Observer.onOpened(Now - Flow.SentAt);
    else if (Flow.AwaitingAnswer)
      recordAnswer(Flow, Now);
    Flow.Answered = Flow.Target != nullptr && (Flow.Answered || Flow.AwaitingAnswer);
    Flow.Opening = false;
    Flow.AwaitingAnswer = false;
  }
  Flow.Repeats = 0;
  Flow.Acknowledged = Packet.Opens ? 0 : Packet.Acknowledged;
  if (Packet.Opens || Packet.DataSize > 0) {
    Flow.Opening = Packet.Opens;
    Flow.AwaitingAnswer = true;
    Flow.Sequence = Packet.Sequence;
    Flow.SentAt = Now;
    Flow.ForwardedAt = Never;
  }
}

void flow_tracker::onForwarded(tracked_flow &Flow, const caller_packet &Packet, instant Now) {
  if ((Packet.Opens || Packet.DataSize > 0) && Packet.Sequence == Flow.Sequence &&
      Flow.ForwardedAt == Never)
    Flow.ForwardedAt = Now;
}

void flow_tracker::countFailure(target &Target) {
  if (Target.Failures < std::numeric_limits<decltype(Target.Failures)>::max())
    ++Target.Failures;
}

void flow_tracker::recordAnswer(const tracked_flow &Flow, instant Now) {
  Observer.onAnswered(Now - Flow.SentAt);
  // If the caller repeated its packet, it is unclear which copy was answered.
  if (Flow.Target == nullptr || Flow.Repeats > 0)
    return;
  if (Now - Flow.SentAt < Flow.Target->QuickAnswerTime)
    countFailure(*Flow.Target);
  Flow.Target->ResponseTime.add(Now - Flow.SentAt, Now);
  Meter.onAnswer(*Flow.Target, Now - Flow.SentAt, Now);
}

void flow_tracker::measureLoad(instant Now) {
  Meter.beginCount();
  for (const auto &[Address, Flow] : Flows)
    if (Flow.Target != nullptr)
      Meter.addFlow(*Flow.Target, mayBeInProgress(Flow, Now) && Flow.Target->working(Now) &&
                                      Now < Flow.SentAt + load_meter::MaxRequestAge);
  Meter.endCount();
}

void flow_tracker::reassign(tracked_flow &Flow, target *Target) {
  if (Flow.Target != nullptr)
    --Flow.Target->OpenFlows;
  Flow.Target = Target;
  Flow.ForwardedAt = Never;
  Flow.Answered = false;
  if (Target != nullptr)
    ++Target->OpenFlows;
}

void flow_tracker::erase(const flow_address &Flow) {
  const auto Found = Flows.find(Flow);
  if (Found == Flows.end())
    return;
  reassign(Found->second, nullptr);
  Flows.erase(Found);
}

} // namespace briarpoint
