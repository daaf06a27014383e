#include "measure/traffic.h"

#include "base/hash.h"

#include <cmath>

namespace briarpoint::measure {

namespace {

constexpr duration LeavingGracePeriod = std::chrono::seconds(3);
constexpr duration SampleInterval = std::chrono::seconds(1);

} // namespace

std::uint32_t traffic::addTarget(const std::string &ServiceName, std::uint32_t Service,
                                 const target_config &Config) {
  fake_target Target;
  Target.Config = Config;
  Target.Id = makeTargetId(ServiceName, Config);
  Target.Service = Service;
  const auto Found =
      std::find(Deployment.DataCentres.begin(), Deployment.DataCentres.end(), Config.DataCentre);
  Target.DataCentre = static_cast<std::size_t>(Found - Deployment.DataCentres.begin());
  // A target added later isn't part of the plain hash until markActive.
  if (Simulation != nullptr)
    Target.LeavingSince = Simulation->now();
  Targets.push_back(Target);
  TargetIndex[Target.Id] = static_cast<std::uint32_t>(Targets.size() - 1);
  return static_cast<std::uint32_t>(Targets.size() - 1);
}

void traffic::kill(std::uint32_t Target) {
  Targets[Target].Alive = false;
  Targets[Target].LeavingSince = Simulation->now();
  updatePlainTargets();
}

void traffic::markLeaving(std::uint32_t Target) {
  Targets[Target].LeavingSince = Simulation->now();
  updatePlainTargets();
}

void traffic::markActive(std::uint32_t Target) {
  Targets[Target].LeavingSince = Never;
  updatePlainTargets();
}

std::uint32_t traffic::makeSilent(std::uint32_t Count) {
  std::uint32_t MadeSilent = 0;
  for (std::uint32_t I = 0; I < Flows.size() && MadeSilent < Count; ++I) {
    fake_flow &Flow = Flows[(I * 7919ULL) % Flows.size()];
    const bool Usable = Flow.State == flow_state::Open && Flow.IsLongLived && !Flow.Silent &&
                        !Flow.WaitsForAnswer && Flow.Protocol == transport::Tcp;
    Flow.Silent = Flow.Silent || Usable;
    MadeSilent += Usable ? 1 : 0;
  }
  return MadeSilent;
}

std::uint32_t traffic::silentOverdue() const {
  return static_cast<std::uint32_t>(
      std::count_if(Flows.begin(), Flows.end(), [&](const fake_flow &Flow) {
        return Flow.Silent && Flow.State != flow_state::Free && Flow.SilenceCriterionAt != Never &&
               Simulation->now() - Flow.SilenceCriterionAt > std::chrono::seconds(15);
      }));
}

probe_result traffic::probe(std::uint32_t Index) {
  const fake_target &Target = Targets[Index];
  probe_result Result;
  Result.Answered = Target.Alive;
  if (!Target.Alive)
    return Result;
  Result.Draining = Target.Draining;
  Result.Slots = Target.Config.Slots;
  Result.SlotsInUse =
      Settings.ReportAgeSeconds == 0
          ? Target.RunningRequests + static_cast<std::uint32_t>(Target.WaitingRequests.size())
          : Target.SlotUseHistory[Settings.ReportAgeSeconds];
  Result.Connections = Target.Connections;
  return Result;
}

bool traffic::holdsFlow(std::uint32_t Target, const fake_packet &Packet) const {
  const fake_flow &Flow = Flows[Packet.Flow];
  return Flow.State != flow_state::Free && Flow.CallerPort == Packet.CallerPort &&
         Flow.Protocol == Packet.Protocol &&
         Flow.AcceptingTarget == static_cast<std::int32_t>(Target);
}

void traffic::packetAtTarget(std::uint32_t Target, service_id Vni,
                             std::span<const std::byte> Inner) {
  const auto Packet = readFakePacket(Inner);
  fake_target &TargetState = Targets[Target];
  if (!Packet || Packet->Flow >= Flows.size() || !TargetState.Alive)
    return;
  // The service of the packet, the virtual network and the target must match.
  if (Packet->Service != TargetState.Service ||
      static_cast<std::uint32_t>(Vni) != TargetState.Service + 1) {
    ++Counts.WrongService;
    return;
  }
  fake_flow &Flow = Flows[Packet->Flow];
  const bool Current = Flow.State != flow_state::Free && Flow.CallerPort == Packet->CallerPort &&
                       Flow.Protocol == Packet->Protocol;
  if (Current && Flow.Silent && holdsFlow(Target, *Packet))
    return;
  if ((Packet->Flags & TcpRst) != 0) {
    // The balancer resets the flow at the target; it sends the caller a packet of its own.
    return;
  }
  const bool Udp = Packet->Protocol == transport::Udp;
  if (Current && Flow.State == flow_state::Opening && (Udp || (Packet->Flags & TcpSyn) != 0)) {
    acceptSetup(Target, Packet->Flow, *Packet);
    return;
  }
  if (!holdsFlow(Target, *Packet)) {
    const bool Open = Current && Flow.State != flow_state::Opening && Flow.AcceptingTarget >= 0;
    // A UDP flow whose target has failed or can't be reached may be set up at another target.
    if (Open && Udp && !canContinue(Flow)) {
      acceptSetup(Target, Packet->Flow, *Packet);
      return;
    }
    const bool Closes = Packet->Flags == TcpAck && Packet->PayloadSize == 0;
    if (Open && canContinue(Flow) && (Packet->Flags & TcpSyn) == 0)
      breakFlow(Packet->Flow, Counts.BrokenMisrouted);
    if (!Udp && !Closes)
      refuse(Target, *Packet);
    return;
  }
  if ((Packet->Flags & TcpFin) != 0) {
    if (!Flow.TargetClosed)
      --TargetState.Connections;
    Flow.TargetClosed = true;
    reply(Target, *Packet, TcpFin | TcpAck, 0);
  } else if (Packet->PayloadSize > 0) {
    acceptRequest(Target, *Packet);
  }
}

void traffic::acceptSetup(std::uint32_t Target, std::uint32_t Index, const fake_packet &Packet) {
  fake_target &TargetState = Targets[Target];
  fake_flow &Flow = Flows[Index];
  const bool Udp = Packet.Protocol == transport::Udp;
  if (Flow.AcceptingTarget != static_cast<std::int32_t>(Target)) {
    if (TargetState.PendingSetups >= TargetState.Config.Slots + Settings.QueueLimit) {
      ++TargetState.Refused;
      if (!Udp)
        refuse(Target, Packet);
      return;
    }
    if (Flow.AcceptingTarget >= 0 && !Flow.TargetClosed)
      --Targets[Flow.AcceptingTarget].Connections;
    releaseReservation(Flow);
    Flow.AcceptingTarget = static_cast<std::int32_t>(Target);
    Flow.TargetClosed = false;
    ++TargetState.Connections;
    Flow.HoldsReservation = Settings.ModelSlots;
    TargetState.PendingSetups += Flow.HoldsReservation ? 1 : 0;
    if (TargetState.LeavingSince != Never &&
        Simulation->now() - TargetState.LeavingSince > LeavingGracePeriod)
      ++Counts.NewOnLeaving;
  }
  if (Udp)
    acceptRequest(Target, Packet);
  else
    reply(Target, Packet, TcpSyn | TcpAck, 0);
}

void traffic::releaseReservation(fake_flow &Flow) {
  if (Flow.HoldsReservation)
    --Targets[Flow.AcceptingTarget].PendingSetups;
  Flow.HoldsReservation = false;
}

void traffic::reply(std::uint32_t Target, const fake_packet &To, std::uint8_t Flags,
                    std::uint16_t Payload) {
  fake_packet Packet = To;
  Packet.ToCaller = true;
  Packet.Flags = Flags;
  Packet.PayloadSize = Payload;
  // The initial sequence number differs between targets.
  Packet.Sequence = (To.Flags & TcpSyn) != 0 ? (Target + 1) << 24U | To.Flow : To.Acknowledgement;
  const bool HasSynOrFin = (To.Flags & (TcpSyn | TcpFin)) != 0;
  Packet.Acknowledgement = To.Sequence + To.PayloadSize + (HasSynOrFin ? 1 : 0);
  std::array<std::byte, MaxFakePacketSize> Bytes;
  const std::size_t Size = writeFakePacket(Packet, Bytes);
  Simulation->sendThroughFabric(std::span(Bytes).first(Size), Flows[To.Flow].HomeDataCentre,
                                Target);
}

void traffic::refuse(std::uint32_t Target, const fake_packet &Packet) {
  reply(Target, Packet, TcpRst | TcpAck, 0);
}

void traffic::acceptRequest(std::uint32_t Target, const fake_packet &Packet) {
  fake_flow &Flow = Flows[Packet.Flow];
  // A repeated request is answered again if its answer was already sent.
  if (Flow.HasServedRequest && Flow.ServedSequence == Packet.Sequence) {
    if (Flow.IsAnswerSent)
      sendAnswer(Target, Packet);
    return;
  }
  Flow.HasServedRequest = true;
  Flow.IsAnswerSent = false;
  Flow.ServedSequence = Packet.Sequence;
  fake_target &TargetState = Targets[Target];
  if (!Settings.ModelSlots) {
    sendAnswer(Target, Packet);
  } else if (TargetState.RunningRequests < TargetState.Config.Slots) {
    serve(Target, Packet);
  } else {
    TargetState.WaitingRequests.push_back(Packet);
  }
}

void traffic::serve(std::uint32_t Target, const fake_packet &Packet) {
  fake_target &TargetState = Targets[Target];
  ++TargetState.RunningRequests;
  // Exponentially distributed, at most five times the mean.
  const double Factor = std::min(5.0, -std::log(1.0 - Simulation->random().unit()));
  const double Base = std::chrono::duration<double>(Settings.ServiceTime).count() * Factor;
  const double Seconds = Base * TargetState.ServiceTimeFactor;
  TargetState.BusySeconds += Seconds;
  const std::int32_t Plain = Flows[Packet.Flow].PlainTarget;
  if (Plain >= 0)
    Targets[Plain].PlainBusySeconds += Base * Targets[Plain].ServiceTimeFactor;
  const duration Span{static_cast<duration::rep>(Seconds * 1e9)};
  Simulation->scheduleCall(Simulation->now() + Span, [this, Target, Packet, Seconds] {
    fake_target &ServingTarget = Targets[Target];
    --ServingTarget.RunningRequests;
    ++ServingTarget.Served;
    if (holdsFlow(Target, Packet) && Flows[Packet.Flow].ServedSequence == Packet.Sequence) {
      ServingTarget.UsefulSeconds += Seconds;
      sendAnswer(Target, Packet);
    }
    if (ServingTarget.WaitingRequests.empty())
      return;
    const fake_packet Next = ServingTarget.WaitingRequests.front();
    ServingTarget.WaitingRequests.pop_front();
    serve(Target, Next);
  });
}

void traffic::sendAnswer(std::uint32_t Target, const fake_packet &Packet) {
  fake_flow &Flow = Flows[Packet.Flow];
  Flow.IsAnswerSent = true;
  releaseReservation(Flow);
  // A payload of 20 bytes requests the caller to reconnect.
  const bool Close = Targets[Target].Draining && Flow.IsLongLived;
  reply(Target, Packet, TcpAck, Close ? 20 : 16);
}

std::int32_t traffic::plainHashTarget(std::uint32_t Index) const {
  const fake_flow &Flow = Flows[Index];
  const std::uint64_t Key = mixHash(Index, Flow.CallerPort);
  std::int32_t Best = -1;
  std::uint64_t BestScore = 0;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const fake_target &Target = Targets[I];
    if (Target.Service != Flow.Service || Target.LeavingSince != Never)
      continue;
    const std::uint64_t Score = mixHash(static_cast<std::uint64_t>(Target.Id), Key);
    if (Best < 0 || Score > BestScore) {
      Best = static_cast<std::int32_t>(I);
      BestScore = Score;
    }
  }
  return Best;
}

void traffic::updatePlainTargets() {
  for (std::uint32_t I = 0; I < Flows.size(); ++I) {
    fake_flow &Flow = Flows[I];
    if (Flow.State == flow_state::Free || Flow.PlainTarget < 0)
      continue;
    const std::int32_t Pick = plainHashTarget(I);
    if (Pick == Flow.PlainTarget)
      continue;
    // Plain hashing breaks the flow, unless its target has failed anyway.
    if (!Flow.PlainBroken && Targets[Flow.PlainTarget].Alive && Flow.State == flow_state::Open)
      ++Counts.PlainBroken;
    Flow.PlainBroken = true;
    --Targets[Flow.PlainTarget].PlainFlows;
    Flow.PlainTarget = Pick;
    if (Pick >= 0)
      ++Targets[Pick].PlainFlows;
  }
}

void traffic::sample() {
  for (std::uint32_t Service = 0; Service < 2; ++Service) {
    std::vector<double> Open;
    std::vector<double> Plain;
    for (fake_target &Target : Targets) {
      if (Target.Service != Service || Target.LeavingSince != Never)
        continue;
      Open.push_back(Target.Connections);
      Plain.push_back(Target.PlainFlows);
    }
    FlowImbalance.add(Service, Open);
    PlainImbalance.add(Service, Plain);
  }
  for (fake_target &Target : Targets) {
    std::rotate(Target.SlotUseHistory.begin(), Target.SlotUseHistory.end() - 1,
                Target.SlotUseHistory.end());
    Target.SlotUseHistory[0] =
        Target.RunningRequests + static_cast<std::uint32_t>(Target.WaitingRequests.size());
  }
  Simulation->scheduleCall(Simulation->now() + SampleInterval, [this] { sample(); });
}

double traffic::slotUseRatio(std::uint32_t Service, double fake_target::*Amount) const {
  imbalance Ratio;
  std::vector<double> Use;
  for (const fake_target &Target : Targets)
    if (Target.Service == Service)
      Use.push_back(Target.*Amount);
  Ratio.add(0, Use);
  return Ratio.mean(0);
}

double traffic::slotUseImbalance(std::uint32_t Service) const {
  return slotUseRatio(Service, &fake_target::BusySeconds);
}

double traffic::plainSlotUseImbalance(std::uint32_t Service) const {
  return slotUseRatio(Service, &fake_target::PlainBusySeconds);
}

double traffic::usefulSeconds(std::uint32_t Service) const {
  double Sum = 0.0;
  for (const fake_target &Target : Targets)
    Sum += Target.Service == Service ? Target.UsefulSeconds : 0.0;
  return Sum;
}

std::uint64_t traffic::refused() const {
  std::uint64_t Sum = 0;
  for (const fake_target &Target : Targets)
    Sum += Target.Refused;
  return Sum;
}

} // namespace briarpoint::measure
