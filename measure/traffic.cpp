#include "measure/traffic.h"

#include <cmath>

namespace briarpoint::measure {

namespace {

constexpr duration ArrivalStep = std::chrono::milliseconds(1);
constexpr duration StallTimeout = std::chrono::seconds(15);
/// Time after which a caller abandons a flow that gets no answer.
constexpr duration AbandonTimeout = std::chrono::seconds(120);
constexpr std::uint8_t MaxSetupSends = 5;

} // namespace

traffic::traffic(const traffic_settings &Settings, const deployment &Deployment)
    : Settings(Settings), Deployment(Deployment) {
  const std::vector<service_config> Services = makeServices(Deployment);
  for (std::uint32_t I = 0; I < Services.size(); ++I)
    for (const target_config &Target : Services[I].Targets)
      addTarget(Services[I].Name, I, Target);
  for (std::uint32_t I = 0; I < Settings.SlowTargets; ++I)
    Targets[I * 7].ServiceTimeFactor = 3.0;
}

void traffic::start(fabric_simulation &NewSimulation) {
  Simulation = &NewSimulation;
  LongToOpen = Settings.LongFlows;
  openArrivingFlows();
  sample();
}

void traffic::resetCounts() {
  Counts = {};
  FlowImbalance = {};
  PlainImbalance = {};
  for (fake_flow &Flow : Flows)
    Flow.Counted = false;
  for (fake_target &Target : Targets) {
    Target.BusySeconds = 0.0;
    Target.PlainBusySeconds = 0.0;
    Target.UsefulSeconds = 0.0;
    Target.Served = 0;
    Target.Refused = 0;
  }
}

duration traffic::randomDuration(duration Mean) {
  // Uniform between 0.5 and 1.5 times the mean.
  return Mean / 2 + duration(Simulation->random().below(Mean.count()));
}

void traffic::setTimer(std::uint32_t Index, duration Span) {
  Flows[Index].TimerDueAt = Simulation->now() + Span;
  Simulation->setFlowTimer(Flows[Index].TimerDueAt, Index);
}

void traffic::openArrivingFlows() {
  // Opens a random number of short-lived flows with the given mean, and long-lived flows at an even
  // rate.
  const double Step = std::chrono::duration<double>(ArrivalStep).count();
  double Expected = Settings.NewFlowsPerSecond * Step;
  for (; Expected >= 1.0; Expected -= 1.0)
    openFlow(false);
  if (Simulation->random().unit() < Expected)
    openFlow(false);
  const double RampUp = std::chrono::duration<double>(Settings.RampUp).count();
  for (LongFlowsDue += Settings.LongFlows * Step / RampUp; LongFlowsDue >= 1.0;
       LongFlowsDue -= 1.0) {
    if (LongToOpen == 0)
      continue;
    --LongToOpen;
    openFlow(true);
  }
  Simulation->scheduleCall(Simulation->now() + ArrivalStep, [this] { openArrivingFlows(); });
}

void traffic::openFlow(bool IsLongLived) {
  random_source &Random = Simulation->random();
  // Reuses the index that has been free for longest, mostly with another port.
  std::uint32_t Index = 0;
  if (FreeFlows.size() > 2000) {
    Index = FreeFlows.front();
    FreeFlows.pop_front();
  } else {
    Index = static_cast<std::uint32_t>(Flows.size());
    Flows.emplace_back();
  }
  const bool SamePort = Random.below(50) == 0;
  const auto Port = static_cast<std::uint16_t>(Flows[Index].CallerPort + (SamePort ? 0 : 1));
  const std::uint32_t OldSequence = Flows[Index].Sequence;
  fake_flow &Flow = Flows[Index] = {};
  Flow.CallerPort = static_cast<std::uint16_t>(1024 + Port % 32768);
  Flow.Sequence = OldSequence + 100'000 + static_cast<std::uint32_t>(Random.below(1'000'000));
  Flow.State = flow_state::Opening;
  Flow.IsLongLived = IsLongLived;
  Flow.Protocol = Random.unit() < Settings.UdpShare ? transport::Udp : transport::Tcp;
  const std::uint32_t AllTargets = Deployment.Targets[0] + Deployment.Targets[1];
  Flow.Service = Random.below(AllTargets) < Deployment.Targets[0] ? 0 : 1;
  Flow.HomeDataCentre = static_cast<std::uint8_t>(Index % DataCentreCount);
  const double Pick = Random.unit();
  if (Flow.Protocol == transport::Udp || Pick < Settings.CriticalShare)
    Flow.Class = request_class::Critical;
  else if (Pick > 1.0 - Settings.BulkShare)
    Flow.Class = request_class::Bulk;
  Flow.RequestsLeft = IsLongLived ? ~0U : Settings.RequestsPerShortFlow;
  Flow.OpenedAt = Simulation->now();
  Flow.PlainTarget = plainHashTarget(Index);
  if (Flow.PlainTarget >= 0)
    ++Targets[Flow.PlainTarget].PlainFlows;
  ++OpenCount;
  ++Counts.Opened;
  Flow.Counted = CountOffers;
  Counts.Offered[static_cast<std::size_t>(Flow.Class)] += CountOffers ? 1 : 0;
  Flow.WaitsForAnswer = true;
  sendPending(Index);
}

fake_packet traffic::makePacket(std::uint32_t Index) const {
  const fake_flow &Flow = Flows[Index];
  fake_packet Packet;
  Packet.Flow = Index;
  Packet.CallerPort = Flow.CallerPort;
  Packet.Service = Flow.Service;
  Packet.Protocol = Flow.Protocol;
  Packet.ServicePort =
      Flow.Protocol == transport::Udp
          ? UdpPort
          : static_cast<std::uint16_t>(FirstTcpPort + static_cast<std::uint16_t>(Flow.Class));
  Packet.Sequence = Flow.Sequence;
  Packet.Acknowledgement = Flow.Acknowledgement;
  return Packet;
}

void traffic::transmit(std::uint32_t Index, std::uint8_t Flags, std::uint16_t Payload) {
  fake_flow &Flow = Flows[Index];
  fake_packet Packet = makePacket(Index);
  Packet.Flags = Flags;
  Packet.PayloadSize = Payload;
  std::array<std::byte, MaxFakePacketSize> Bytes;
  const std::size_t Size = writeFakePacket(Packet, Bytes);
  const std::size_t Ingress = Simulation->sendThroughFabric(
      std::span(Bytes).first(Size), Flow.HomeDataCentre, fabric_simulation::NoTargetIndex);
  if (!Flow.WaitsForAnswer)
    return;
  // A stall starts at the first transmission for which a path to the target exists.
  if (Flow.Sends++ == 0)
    Flow.FirstSend = Simulation->now();
  const bool HasPath = Flow.AcceptingTarget < 0 ||
                       Simulation->reachable(Ingress, Targets[Flow.AcceptingTarget].DataCentre);
  if (HasPath && Flow.SendsWithPath++ == 0)
    Flow.StalledSince = Simulation->now();
  const duration Span = Simulation->now() - Flow.FirstSend;
  if (Flow.Silent && Flow.Sends >= 4 && Span >= std::chrono::seconds(5) &&
      Flow.SilenceCriterionAt == Never)
    Flow.SilenceCriterionAt = Simulation->now();
}

void traffic::sendPending(std::uint32_t Index) {
  const fake_flow &Flow = Flows[Index];
  duration Timeout = std::chrono::milliseconds(500);
  if (Flow.State == flow_state::Opening)
    Timeout = std::chrono::seconds(1);
  for (std::uint8_t I = 0; I < Flow.Sends && Timeout < std::chrono::seconds(4); ++I)
    Timeout *= 2;
  if (Flow.Protocol == transport::Udp)
    transmit(Index, 0, 16);
  else if (Flow.State == flow_state::Opening)
    transmit(Index, TcpSyn, 0);
  else if (Flow.State == flow_state::Closing)
    transmit(Index, TcpFin | TcpAck, 0);
  else
    transmit(Index, TcpAck, 16);
  setTimer(Index, Timeout);
}

void traffic::sendRequest(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  Flow.WaitsForAnswer = true;
  Flow.Sends = 0;
  Flow.SendsWithPath = 0;
  Flow.StalledSince = Never;
  Flow.SilenceCriterionAt = Never;
  ++Counts.Requests;
  sendPending(Index);
}

void traffic::scheduleNextRequest(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  Flow.WaitsForAnswer = false;
  Flow.StalledSince = Never;
  setTimer(Index, randomDuration(Flow.IsLongLived ? Settings.LongRequestInterval
                                                  : Settings.ShortRequestInterval));
}

void traffic::flowTimer(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Free || Flow.TimerDueAt != Simulation->now())
    return;
  if (Flow.WaitsForAnswer) {
    retransmit(Index);
    return;
  }
  const bool Last = Flow.RequestsLeft == 0 || Flow.ShouldClose;
  if (!Last) {
    --Flow.RequestsLeft;
  } else if (Flow.Protocol == transport::Udp) {
    closeFlow(Index);
    return;
  } else {
    Flow.State = flow_state::Closing;
  }
  sendRequest(Index);
}

void traffic::retransmit(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Opening && Flow.Sends >= MaxSetupSends) {
    ++Counts.Unanswered;
    replaceFlow(Index);
    return;
  }
  if (checkStall(Index))
    return;
  if (Simulation->now() - Flow.FirstSend > AbandonTimeout) {
    ++Counts.CloseUnanswered;
    replaceFlow(Index);
    return;
  }
  sendPending(Index);
}

/// Returns whether the target of the flow is alive and packets of the flow can reach it.
bool traffic::canContinue(const fake_flow &Flow) const {
  if (Flow.AcceptingTarget < 0 || !Targets[Flow.AcceptingTarget].Alive)
    return false;
  return Simulation->settings().Scope == ownership_scope::All ||
         Simulation->reachable(Flow.HomeDataCentre, Targets[Flow.AcceptingTarget].DataCentre);
}

bool traffic::checkStall(std::uint32_t Index) {
  const fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Opening || Flow.Silent || Flow.StalledSince == Never ||
      Simulation->now() - Flow.StalledSince <= StallTimeout)
    return false;
  if (!canContinue(Flow) || Flow.SendsWithPath < 3)
    return false;
  breakFlow(Index, Counts.BrokenStalled);
  return true;
}

void traffic::breakFlow(std::uint32_t Index, std::uint64_t &Cause) {
  ++Cause;
  replaceFlow(Index);
}

void traffic::replaceFlow(std::uint32_t Index) {
  const bool IsLongLived = Flows[Index].IsLongLived;
  closeFlow(Index);
  if (IsLongLived)
    ++LongToOpen;
}

void traffic::closeFlow(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  releaseReservation(Flow);
  if (Flow.AcceptingTarget >= 0 && !Flow.TargetClosed)
    --Targets[Flow.AcceptingTarget].Connections;
  if (Flow.PlainTarget >= 0)
    --Targets[Flow.PlainTarget].PlainFlows;
  Flow.State = flow_state::Free;
  Flow.TimerDueAt = Never;
  --OpenCount;
  FreeFlows.push_back(Index);
}

void traffic::packetAtCaller(std::span<const std::byte> Inner) {
  const auto Packet = readFakePacket(Inner);
  if (!Packet || Packet->Flow >= Flows.size())
    return;
  const std::uint32_t Index = Packet->Flow;
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Free || Flow.CallerPort != Packet->CallerPort ||
      Flow.Protocol != Packet->Protocol)
    return;
  const bool IsSetup = Flow.State == flow_state::Opening;
  if (Packet->IsIcmp || (Packet->Flags & TcpRst) != 0) {
    // A reset counts only if its sequence numbers fit the connection (RFC 5961).
    const bool Fits = Packet->IsIcmp || (IsSetup ? Packet->Acknowledgement == Flow.Sequence + 1
                                                 : Packet->Sequence == Flow.Acknowledgement);
    if (Fits)
      handleFlowEnd(Index, IsSetup);
    return;
  }
  if (IsSetup && Flow.Protocol == transport::Tcp) {
    const std::uint8_t SynAck = TcpSyn | TcpAck;
    if ((Packet->Flags & SynAck) != SynAck || Packet->Acknowledgement != Flow.Sequence + 1)
      return;
    Flow.State = flow_state::Open;
    ++Flow.Sequence;
    Flow.Acknowledgement = Packet->Sequence + 1;
    --Flow.RequestsLeft;
    sendRequest(Index);
    return;
  }
  handleTargetAnswer(Index, *Packet);
}

void traffic::handleTargetAnswer(std::uint32_t Index, const fake_packet &Packet) {
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Closing) {
    if ((Packet.Flags & TcpFin) == 0)
      return;
    Flow.WaitsForAnswer = false;
    Flow.Sequence += 1;
    Flow.Acknowledgement = Packet.Sequence + 1;
    transmit(Index, TcpAck, 0);
    replaceFlow(Index);
    return;
  }
  const bool Udp = Flow.Protocol == transport::Udp;
  if (!Flow.WaitsForAnswer || (!Udp && Packet.Acknowledgement != Flow.Sequence + 16))
    return;
  if (Flow.State == flow_state::Opening)
    --Flow.RequestsLeft;
  Flow.State = flow_state::Open;
  if (!Udp)
    Flow.Acknowledgement = Packet.Sequence + Packet.PayloadSize;
  Flow.Sequence += 16;
  ++Counts.Answers;
  if (!Flow.HasAnswer) {
    Counts.Delivered[static_cast<std::size_t>(Flow.Class)] += Flow.Counted ? 1 : 0;
    ++Counts.ServedByDataCentre[Flow.HomeDataCentre];
  }
  Flow.HasAnswer = true;
  // A payload of 20 bytes requests the caller to reconnect.
  Flow.ShouldClose = Packet.PayloadSize == 20;
  scheduleNextRequest(Index);
}

void traffic::handleFlowEnd(std::uint32_t Index, bool IsSetup) {
  const fake_flow &Flow = Flows[Index];
  if (IsSetup) {
    ++Counts.Rejected;
    if (Flow.HasServedRequest)
      ++Counts.NotRunButRan;
    replaceFlow(Index);
    return;
  }
  if (Flow.Silent) {
    ++Counts.EndedSilent;
    const duration Delay = Flow.SilenceCriterionAt == Never
                               ? duration::zero()
                               : Simulation->now() - Flow.SilenceCriterionAt;
    Counts.SilentLongestSeconds =
        std::max(Counts.SilentLongestSeconds, std::chrono::duration<double>(Delay).count());
    Counts.SilentLate += Delay > StallTimeout ? 1 : 0;
    replaceFlow(Index);
    return;
  }
  if (canContinue(Flow)) {
    breakFlow(Index, Counts.BrokenReset);
    return;
  }
  ++Counts.EndedWithDeadTarget;
  replaceFlow(Index);
}

} // namespace briarpoint::measure
