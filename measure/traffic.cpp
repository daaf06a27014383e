#include "measure/traffic.h"

#include <cmath>

namespace briarpoint::measure {

namespace {

constexpr duration ArrivalStep = std::chrono::milliseconds(1);
constexpr duration StallLimit = std::chrono::seconds(15);
/// Time after which a caller gives a flow up that can't go on.
constexpr duration GiveUp = std::chrono::seconds(120);
constexpr std::uint8_t SetupSends = 5;

} // namespace

traffic::traffic(const traffic_settings &Settings, const deployment &Deployment)
    : Settings(Settings), Deployment(Deployment) {
  const std::vector<service_config> Services = makeServices(Deployment);
  for (std::uint32_t I = 0; I < Services.size(); ++I)
    for (const target_config &Target : Services[I].Targets)
      addTarget(Services[I].Name, I, Target);
  for (std::uint32_t I = 0; I < Settings.SlowTargets; ++I)
    Targets[I * 7].Slowness = 3.0;
}

void traffic::start(fixture &With) {
  Exchange = &With;
  LongToOpen = Settings.LongFlows;
  arrive();
  sample();
}

void traffic::resetCounts() {
  Counts = {};
  FlowImbalance = {};
  PlainImbalance = {};
  for (fake_flow &Flow : Flows)
    Flow.Counted = false;
  for (fake_target &Target : Targets) {
    Target.Busy = 0.0;
    Target.PlainBusy = 0.0;
    Target.Useful = 0.0;
    Target.Served = 0;
    Target.Refused = 0;
  }
}

duration traffic::randomSpan(duration Mean) {
  // Uniform between half and one and a half of the mean.
  return Mean / 2 + duration(Exchange->random().below(Mean.count()));
}

void traffic::setTimer(std::uint32_t Index, duration Span) {
  Flows[Index].Due = Exchange->now() + Span;
  Exchange->setFlowTimer(Flows[Index].Due, Index);
}

void traffic::arrive() {
  // A random number of short-lived flows with the given mean, and the long-lived ones evenly.
  const double Step = std::chrono::duration<double>(ArrivalStep).count();
  double Expected = Settings.NewFlows * Step;
  for (; Expected >= 1.0; Expected -= 1.0)
    openFlow(false);
  if (Exchange->random().unit() < Expected)
    openFlow(false);
  const double RampUp = std::chrono::duration<double>(Settings.RampUp).count();
  for (LongCredit += Settings.LongFlows * Step / RampUp; LongCredit >= 1.0; LongCredit -= 1.0) {
    if (LongToOpen == 0)
      continue;
    --LongToOpen;
    openFlow(true);
  }
  Exchange->call(Exchange->now() + ArrivalStep, [this] { arrive(); });
}

void traffic::openFlow(bool IsLong) {
  random_source &Random = Exchange->random();
  // The index that has been free for longest is used again, mostly with another port.
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
  Flow.IsLong = IsLong;
  Flow.Protocol = Random.unit() < Settings.UdpShare ? transport::Udp : transport::Tcp;
  const std::uint32_t AllTargets = Deployment.Targets[0] + Deployment.Targets[1];
  Flow.Service = Random.below(AllTargets) < Deployment.Targets[0] ? 0 : 1;
  Flow.Home = static_cast<std::uint8_t>(Index % DataCentreCount);
  const double Pick = Random.unit();
  if (Flow.Protocol == transport::Udp || Pick < Settings.CriticalShare)
    Flow.Class = request_class::Critical;
  else if (Pick > 1.0 - Settings.BulkShare)
    Flow.Class = request_class::Bulk;
  Flow.RequestsLeft = IsLong ? ~0U : Settings.ShortRequests;
  Flow.OpenedAt = Exchange->now();
  Flow.PlainTarget = plainPick(Index);
  if (Flow.PlainTarget >= 0)
    ++Targets[Flow.PlainTarget].PlainFlows;
  ++OpenCount;
  ++Counts.Opened;
  Flow.Counted = CountOffers;
  Counts.Offered[static_cast<std::size_t>(Flow.Class)] += CountOffers ? 1 : 0;
  Flow.Waiting = true;
  sendPending(Index);
}

wire traffic::wireOf(std::uint32_t Index) const {
  const fake_flow &Flow = Flows[Index];
  wire Wire;
  Wire.Flow = Index;
  Wire.CallerPort = Flow.CallerPort;
  Wire.Service = Flow.Service;
  Wire.Protocol = Flow.Protocol;
  Wire.ServicePort =
      Flow.Protocol == transport::Udp
          ? UdpPort
          : static_cast<std::uint16_t>(FirstTcpPort + static_cast<std::uint16_t>(Flow.Class));
  Wire.Sequence = Flow.Sequence;
  Wire.Acknowledgement = Flow.Acknowledgement;
  return Wire;
}

void traffic::transmit(std::uint32_t Index, std::uint8_t Flags, std::uint16_t Payload) {
  fake_flow &Flow = Flows[Index];
  wire Wire = wireOf(Index);
  Wire.Flags = Flags;
  Wire.PayloadSize = Payload;
  std::array<std::byte, MaxWireSize> Bytes;
  const std::size_t Size = writeWire(Wire, Bytes);
  const std::size_t Ingress =
      Exchange->sendThroughFabric(std::span(Bytes).first(Size), Flow.Home, fixture::NoTargetIndex);
  if (!Flow.Waiting)
    return;
  // Stalls count from the first packet whose path exists.
  if (Flow.Sends++ == 0)
    Flow.FirstSend = Exchange->now();
  const bool Path =
      Flow.Holder < 0 || Exchange->reachable(Ingress, Targets[Flow.Holder].DataCentre);
  if (Path && Flow.SendsWithPath++ == 0)
    Flow.StalledSince = Exchange->now();
  const duration Span = Exchange->now() - Flow.FirstSend;
  if (Flow.Silent && Flow.Sends >= 4 && Span >= std::chrono::seconds(5) &&
      Flow.CriterionAt == Never)
    Flow.CriterionAt = Exchange->now();
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
  Flow.Waiting = true;
  Flow.Sends = 0;
  Flow.SendsWithPath = 0;
  Flow.StalledSince = Never;
  Flow.CriterionAt = Never;
  ++Counts.Requests;
  sendPending(Index);
}

void traffic::waitForNext(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  Flow.Waiting = false;
  Flow.StalledSince = Never;
  setTimer(Index, randomSpan(Flow.IsLong ? Settings.LongGap : Settings.ShortGap));
}

void traffic::flowTimer(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Free || Flow.Due != Exchange->now())
    return;
  if (Flow.Waiting) {
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
  if (Flow.State == flow_state::Opening && Flow.Sends >= SetupSends) {
    ++Counts.Unanswered;
    replaceFlow(Index);
    return;
  }
  if (checkStall(Index))
    return;
  if (Exchange->now() - Flow.FirstSend > GiveUp) {
    ++Counts.CloseUnanswered;
    replaceFlow(Index);
    return;
  }
  sendPending(Index);
}

/// Returns whether the flow's target lives and packets of the flow can reach it.
bool traffic::canGoOn(const fake_flow &Flow) const {
  if (Flow.Holder < 0 || !Targets[Flow.Holder].Alive)
    return false;
  return Exchange->settings().Scope == ownership_scope::All ||
         Exchange->reachable(Flow.Home, Targets[Flow.Holder].DataCentre);
}

bool traffic::checkStall(std::uint32_t Index) {
  const fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Opening || Flow.Silent || Flow.StalledSince == Never ||
      Exchange->now() - Flow.StalledSince <= StallLimit)
    return false;
  if (!canGoOn(Flow) || Flow.SendsWithPath < 3)
    return false;
  breakFlow(Index, Counts.BrokenStalled);
  return true;
}

void traffic::breakFlow(std::uint32_t Index, std::uint64_t &Cause) {
  ++Cause;
  replaceFlow(Index);
}

void traffic::replaceFlow(std::uint32_t Index) {
  const bool IsLong = Flows[Index].IsLong;
  closeFlow(Index);
  if (IsLong)
    ++LongToOpen;
}

void traffic::closeFlow(std::uint32_t Index) {
  fake_flow &Flow = Flows[Index];
  release(Flow);
  if (Flow.Holder >= 0 && !Flow.TargetClosed)
    --Targets[Flow.Holder].Connections;
  if (Flow.PlainTarget >= 0)
    --Targets[Flow.PlainTarget].PlainFlows;
  Flow.State = flow_state::Free;
  Flow.Due = Never;
  --OpenCount;
  FreeFlows.push_back(Index);
}

void traffic::packetAtCaller(std::span<const std::byte> Inner) {
  const auto Wire = readWire(Inner);
  if (!Wire || Wire->Flow >= Flows.size())
    return;
  const std::uint32_t Index = Wire->Flow;
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Free || Flow.CallerPort != Wire->CallerPort ||
      Flow.Protocol != Wire->Protocol)
    return;
  const bool Setup = Flow.State == flow_state::Opening;
  if (Wire->IsIcmp || (Wire->Flags & TcpRst) != 0) {
    // A reset counts if it fits the connection (RFC 5961).
    const bool Fits = Wire->IsIcmp || (Setup ? Wire->Acknowledgement == Flow.Sequence + 1
                                             : Wire->Sequence == Flow.Acknowledgement);
    if (Fits)
      ended(Index, Setup);
    return;
  }
  if (Setup && Flow.Protocol == transport::Tcp) {
    const std::uint8_t Wanted = TcpSyn | TcpAck;
    if ((Wire->Flags & Wanted) != Wanted || Wire->Acknowledgement != Flow.Sequence + 1)
      return;
    Flow.State = flow_state::Open;
    ++Flow.Sequence;
    Flow.Acknowledgement = Wire->Sequence + 1;
    --Flow.RequestsLeft;
    sendRequest(Index);
    return;
  }
  answered(Index, *Wire);
}

void traffic::answered(std::uint32_t Index, const wire &Wire) {
  fake_flow &Flow = Flows[Index];
  if (Flow.State == flow_state::Closing) {
    if ((Wire.Flags & TcpFin) == 0)
      return;
    Flow.Waiting = false;
    Flow.Sequence += 1;
    Flow.Acknowledgement = Wire.Sequence + 1;
    transmit(Index, TcpAck, 0);
    replaceFlow(Index);
    return;
  }
  const bool Udp = Flow.Protocol == transport::Udp;
  if (!Flow.Waiting || (!Udp && Wire.Acknowledgement != Flow.Sequence + 16))
    return;
  if (Flow.State == flow_state::Opening)
    --Flow.RequestsLeft;
  Flow.State = flow_state::Open;
  if (!Udp)
    Flow.Acknowledgement = Wire.Sequence + Wire.PayloadSize;
  Flow.Sequence += 16;
  ++Counts.Answers;
  if (!Flow.Answered) {
    Counts.Delivered[static_cast<std::size_t>(Flow.Class)] += Flow.Counted ? 1 : 0;
    ++Counts.ServedAt[Flow.Home];
  }
  Flow.Answered = true;
  // A payload of 20 bytes asks to reconnect.
  Flow.ShouldClose = Wire.PayloadSize == 20;
  waitForNext(Index);
}

void traffic::ended(std::uint32_t Index, bool Setup) {
  const fake_flow &Flow = Flows[Index];
  if (Setup) {
    ++Counts.Rejected;
    if (Flow.ServedAny)
      ++Counts.NotRunButRan;
    replaceFlow(Index);
    return;
  }
  if (Flow.Silent) {
    ++Counts.EndedSilent;
    const duration Delay =
        Flow.CriterionAt == Never ? duration::zero() : Exchange->now() - Flow.CriterionAt;
    Counts.SilentLongest =
        std::max(Counts.SilentLongest, std::chrono::duration<double>(Delay).count());
    Counts.SilentLate += Delay > StallLimit ? 1 : 0;
    replaceFlow(Index);
    return;
  }
  if (canGoOn(Flow)) {
    breakFlow(Index, Counts.BrokenReset);
    return;
  }
  ++Counts.EndedDead;
  replaceFlow(Index);
}

} // namespace briarpoint::measure
