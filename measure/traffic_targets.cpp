#include "measure/traffic.h"

#include "base/hash.h"

#include <cmath>

namespace briarpoint::measure {

namespace {

constexpr duration LeavingLimit = std::chrono::seconds(3);
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
  // Configured later: it isn't part of the plain hash until markActive.
  if (Exchange != nullptr)
    Target.LeavingSince = Exchange->now();
  Targets.push_back(Target);
  TargetIndex[Target.Id] = static_cast<std::uint32_t>(Targets.size() - 1);
  return static_cast<std::uint32_t>(Targets.size() - 1);
}

void traffic::kill(std::uint32_t Target) {
  Targets[Target].Alive = false;
  Targets[Target].LeavingSince = Exchange->now();
  recomputePlain();
}

void traffic::markLeaving(std::uint32_t Target) {
  Targets[Target].LeavingSince = Exchange->now();
  recomputePlain();
}

void traffic::markActive(std::uint32_t Target) {
  Targets[Target].LeavingSince = Never;
  recomputePlain();
}

std::uint32_t traffic::makeSilent(std::uint32_t Count) {
  std::uint32_t Made = 0;
  for (std::uint32_t I = 0; I < Flows.size() && Made < Count; ++I) {
    fake_flow &Flow = Flows[(I * 7919ULL) % Flows.size()];
    const bool Usable = Flow.State == flow_state::Open && Flow.IsLong && !Flow.Silent &&
                        !Flow.Waiting && Flow.Protocol == transport::Tcp;
    Flow.Silent = Flow.Silent || Usable;
    Made += Usable ? 1 : 0;
  }
  return Made;
}

std::uint32_t traffic::silentOverdue() const {
  return static_cast<std::uint32_t>(
      std::count_if(Flows.begin(), Flows.end(), [&](const fake_flow &Flow) {
        return Flow.Silent && Flow.State != flow_state::Free && Flow.CriterionAt != Never &&
               Exchange->now() - Flow.CriterionAt > std::chrono::seconds(15);
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
  Result.SlotsInUse = Settings.ReportAgeSeconds == 0
                          ? Target.Running + static_cast<std::uint32_t>(Target.Waiting.size())
                          : Target.UseHistory[Settings.ReportAgeSeconds];
  Result.Connections = Target.Connections;
  return Result;
}

bool traffic::holds(std::uint32_t Target, const wire &Wire) const {
  const fake_flow &Flow = Flows[Wire.Flow];
  return Flow.State != flow_state::Free && Flow.CallerPort == Wire.CallerPort &&
         Flow.Protocol == Wire.Protocol && Flow.Holder == static_cast<std::int32_t>(Target);
}

void traffic::packetAtTarget(std::uint32_t Target, service_id Vni,
                             std::span<const std::byte> Inner) {
  const auto Wire = readWire(Inner);
  fake_target &Here = Targets[Target];
  if (!Wire || Wire->Flow >= Flows.size() || !Here.Alive)
    return;
  // The service of the packet, the virtual network and the target must belong together.
  if (Wire->Service != Here.Service || static_cast<std::uint32_t>(Vni) != Here.Service + 1) {
    ++Counts.WrongService;
    return;
  }
  fake_flow &Flow = Flows[Wire->Flow];
  const bool Current = Flow.State != flow_state::Free && Flow.CallerPort == Wire->CallerPort &&
                       Flow.Protocol == Wire->Protocol;
  if (Current && Flow.Silent && holds(Target, *Wire))
    return;
  if ((Wire->Flags & TcpRst) != 0) {
    // The balancer ends the flow at the target; the caller is told separately.
    return;
  }
  const bool Udp = Wire->Protocol == transport::Udp;
  if (Current && Flow.State == flow_state::Opening && (Udp || (Wire->Flags & TcpSyn) != 0)) {
    acceptSetup(Target, Wire->Flow, *Wire);
    return;
  }
  if (!holds(Target, *Wire)) {
    const bool Open = Current && Flow.State != flow_state::Opening && Flow.Holder >= 0;
    // A datagram flow whose target died or can't be reached may be set up anew.
    if (Open && Udp && !canGoOn(Flow)) {
      acceptSetup(Target, Wire->Flow, *Wire);
      return;
    }
    const bool Closes = Wire->Flags == TcpAck && Wire->PayloadSize == 0;
    if (Open && canGoOn(Flow) && (Wire->Flags & TcpSyn) == 0)
      breakFlow(Wire->Flow, Counts.BrokenMisrouted);
    if (!Udp && !Closes)
      refuse(Target, *Wire);
    return;
  }
  if ((Wire->Flags & TcpFin) != 0) {
    if (!Flow.TargetClosed)
      --Here.Connections;
    Flow.TargetClosed = true;
    reply(Target, *Wire, TcpFin | TcpAck, 0);
  } else if (Wire->PayloadSize > 0) {
    takeRequest(Target, *Wire);
  }
}

void traffic::acceptSetup(std::uint32_t Target, std::uint32_t Index, const wire &Wire) {
  fake_target &Here = Targets[Target];
  fake_flow &Flow = Flows[Index];
  const bool Udp = Wire.Protocol == transport::Udp;
  if (Flow.Holder != static_cast<std::int32_t>(Target)) {
    if (Here.Pending >= Here.Config.Slots + Settings.QueueLimit) {
      ++Here.Refused;
      if (!Udp)
        refuse(Target, Wire);
      return;
    }
    if (Flow.Holder >= 0 && !Flow.TargetClosed)
      --Targets[Flow.Holder].Connections;
    release(Flow);
    Flow.Holder = static_cast<std::int32_t>(Target);
    Flow.TargetClosed = false;
    ++Here.Connections;
    Flow.Reserved = Settings.ModelSlots;
    Here.Pending += Flow.Reserved ? 1 : 0;
    if (Here.LeavingSince != Never && Exchange->now() - Here.LeavingSince > LeavingLimit)
      ++Counts.NewOnLeaving;
  }
  if (Udp)
    takeRequest(Target, Wire);
  else
    reply(Target, Wire, TcpSyn | TcpAck, 0);
}

void traffic::release(fake_flow &Flow) {
  if (Flow.Reserved)
    --Targets[Flow.Holder].Pending;
  Flow.Reserved = false;
}

void traffic::reply(std::uint32_t Target, const wire &To, std::uint8_t Flags,
                    std::uint16_t Payload) {
  wire Wire = To;
  Wire.ToCaller = true;
  Wire.Flags = Flags;
  Wire.PayloadSize = Payload;
  // The initial sequence number differs between targets.
  Wire.Sequence = (To.Flags & TcpSyn) != 0 ? (Target + 1) << 24U | To.Flow : To.Acknowledgement;
  const bool Counted = (To.Flags & (TcpSyn | TcpFin)) != 0;
  Wire.Acknowledgement = To.Sequence + To.PayloadSize + (Counted ? 1 : 0);
  std::array<std::byte, MaxWireSize> Bytes;
  const std::size_t Size = writeWire(Wire, Bytes);
  Exchange->sendThroughFabric(std::span(Bytes).first(Size), Flows[To.Flow].Home, Target);
}

void traffic::refuse(std::uint32_t Target, const wire &Wire) {
  reply(Target, Wire, TcpRst | TcpAck, 0);
}

void traffic::takeRequest(std::uint32_t Target, const wire &Wire) {
  fake_flow &Flow = Flows[Wire.Flow];
  // A copy of the present request is answered once more if the answer was sent already.
  if (Flow.ServedAny && Flow.ServedSequence == Wire.Sequence) {
    if (Flow.ServedDone)
      finish(Target, Wire);
    return;
  }
  Flow.ServedAny = true;
  Flow.ServedDone = false;
  Flow.ServedSequence = Wire.Sequence;
  fake_target &Here = Targets[Target];
  if (!Settings.ModelSlots) {
    finish(Target, Wire);
  } else if (Here.Running < Here.Config.Slots) {
    serve(Target, Wire);
  } else {
    Here.Waiting.push_back(Wire);
  }
}

void traffic::serve(std::uint32_t Target, const wire &Wire) {
  fake_target &Here = Targets[Target];
  ++Here.Running;
  // Exponentially distributed, at most five times the mean.
  const double Factor = std::min(5.0, -std::log(1.0 - Exchange->random().unit()));
  const double Base = std::chrono::duration<double>(Settings.ServiceTime).count() * Factor;
  const double Seconds = Base * Here.Slowness;
  Here.Busy += Seconds;
  const std::int32_t Plain = Flows[Wire.Flow].PlainTarget;
  if (Plain >= 0)
    Targets[Plain].PlainBusy += Base * Targets[Plain].Slowness;
  const duration Span{static_cast<duration::rep>(Seconds * 1e9)};
  Exchange->call(Exchange->now() + Span, [this, Target, Wire, Seconds] {
    fake_target &There = Targets[Target];
    --There.Running;
    ++There.Served;
    if (holds(Target, Wire) && Flows[Wire.Flow].ServedSequence == Wire.Sequence) {
      There.Useful += Seconds;
      finish(Target, Wire);
    }
    if (There.Waiting.empty())
      return;
    const wire Next = There.Waiting.front();
    There.Waiting.pop_front();
    serve(Target, Next);
  });
}

void traffic::finish(std::uint32_t Target, const wire &Wire) {
  fake_flow &Flow = Flows[Wire.Flow];
  Flow.ServedDone = true;
  release(Flow);
  // 20 bytes ask the caller to reconnect.
  const bool Close = Targets[Target].Draining && Flow.IsLong;
  reply(Target, Wire, TcpAck, Close ? 20 : 16);
}

std::int32_t traffic::plainPick(std::uint32_t Index) const {
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

void traffic::recomputePlain() {
  for (std::uint32_t I = 0; I < Flows.size(); ++I) {
    fake_flow &Flow = Flows[I];
    if (Flow.State == flow_state::Free || Flow.PlainTarget < 0)
      continue;
    const std::int32_t Pick = plainPick(I);
    if (Pick == Flow.PlainTarget)
      continue;
    // The flow breaks unless its target died anyway.
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
    std::rotate(Target.UseHistory.begin(), Target.UseHistory.end() - 1, Target.UseHistory.end());
    Target.UseHistory[0] = Target.Running + static_cast<std::uint32_t>(Target.Waiting.size());
  }
  Exchange->call(Exchange->now() + SampleInterval, [this] { sample(); });
}

double traffic::useOf(std::uint32_t Service, double fake_target::*Amount) const {
  imbalance Ratio;
  std::vector<double> Use;
  for (const fake_target &Target : Targets)
    if (Target.Service == Service)
      Use.push_back(Target.*Amount);
  Ratio.add(0, Use);
  return Ratio.mean(0);
}

double traffic::slotRatio(std::uint32_t Service) const {
  return useOf(Service, &fake_target::Busy);
}

double traffic::plainSlotRatio(std::uint32_t Service) const {
  return useOf(Service, &fake_target::PlainBusy);
}

double traffic::usefulSeconds(std::uint32_t Service) const {
  double Sum = 0.0;
  for (const fake_target &Target : Targets)
    Sum += Target.Service == Service ? Target.Useful : 0.0;
  return Sum;
}

std::uint64_t traffic::refused() const {
  std::uint64_t Sum = 0;
  for (const fake_target &Target : Targets)
    Sum += Target.Refused;
  return Sum;
}

} // namespace briarpoint::measure
