#include "measure/fabric_simulation.h"

#include "measure/balancer.h"
#include "peer/peer_codec.h"

#include <algorithm>

namespace briarpoint::measure {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(100);

endpoint makeEndpoint(std::size_t Balancer, std::uint16_t Port) {
  endpoint Endpoint;
  Endpoint.Address.Bytes = {172, 31, static_cast<std::uint8_t>(Balancer >> 8U),
                            static_cast<std::uint8_t>(Balancer)};
  Endpoint.Port = Port;
  return Endpoint;
}

} // namespace

fabric_simulation::fabric_simulation(const simulation_settings &AllSettings,
                                     simulation_listener &Listener)
    : Settings(AllSettings), Listener(Listener), Random(AllSettings.Seed),
      PeerLoss(AllSettings.PeerLoss) {
  for (std::size_t I = 0; I < DataCentreCount * Settings.BalancersPerDataCentre; ++I)
    addBalancer(I % DataCentreCount);
}

fabric_simulation::~fabric_simulation() = default;

data_plane_settings fabric_simulation::dataSettings() const {
  data_plane_settings Data;
  Data.HashSeed = mixHash(Settings.Seed, 1);
  Data.MaxFlows = 1'000'000;
  return Data;
}

void fabric_simulation::runUntil(instant End) {
  while (Queue.hasDue(End)) {
    const event_queue::event Event = Queue.pop();
    Now = Event.At;
    EventHash = mixHash(EventHash + Event.Subject, Now.time_since_epoch().count());
    switch (Event.Kind) {
    case event_kind::Packet:
      deliver(Event.Subject);
      break;
    case event_kind::FlowTimer:
      Listener.flowTimer(Event.Subject);
      break;
    case event_kind::Closure:
      Queue.runClosure(Event.Subject);
      break;
    }
  }
  Now = End;
}

bool fabric_simulation::runUntil(instant Limit, const std::function<bool()> &Done) {
  while (!Done()) {
    if (Now >= Limit)
      return false;
    runUntil(std::min(Limit, Now + TickInterval));
  }
  return true;
}

std::size_t fabric_simulation::addBalancer(std::size_t DataCentre) {
  Balancers.emplace_back();
  Meters.emplace_back();
  DataCentreOf.push_back(DataCentre);
  start(Balancers.size() - 1);
  return Balancers.size() - 1;
}

void fabric_simulation::start(std::size_t Balancer) {
  control_plane_settings Control;
  Control.Scope = Settings.Scope;
  member_info &Self = Control.Self;
  Self.Name = "balancer-" + std::to_string(Balancer);
  Self.Id = makeMemberId(Self.Name);
  Self.DataCentre = Settings.Deployment.DataCentres[DataCentreOf[Balancer]];
  Self.Data = makeEndpoint(Balancer, 6081);
  Self.Control = makeEndpoint(Balancer, 7400);
  Self.Rpc = makeEndpoint(Balancer, 7401);
  Self.Incarnation = ++Incarnations * 1000;
  for (std::size_t I = 0; I < 3; ++I)
    Control.Seeds.push_back(makeEndpoint(I, 7400));
  IndexByMember[Self.Id] = Balancer;
  IndexByControlEndpoint[Self.Control] = Balancer;
  Platform.Instances.push_back({Self.Name, toString(Self.Control), false});
  Balancers[Balancer] = std::make_unique<measure::balancer>(*this, Balancer, Control);
  Balancers[Balancer]->control().start(Now);
  // The processes tick at different offsets.
  const duration Offset{Random.below(TickInterval.count())};
  Queue.scheduleCall(Now + Offset, [this, Balancer, I = Self.Incarnation] { tick(Balancer, I); });
  Queue.scheduleCall(Now + Settings.RoutingDelay, [this] { updateNextHops(); });
}

void fabric_simulation::tick(std::size_t Balancer, std::uint64_t Incarnation) {
  measure::balancer *Process = find(Balancer);
  if (Process == nullptr || Process->self().Incarnation != Incarnation)
    return;
  Meters[Balancer].Total.Seconds += std::chrono::duration<double>(TickInterval).count();
  if (!Process->Paused)
    Process->tick();
  // A leaving process ends once its peers have taken over its records.
  if (Process->Leaving && Process->control().mayExit(Now)) {
    crash(Balancer);
    return;
  }
  Queue.scheduleCall(Now + TickInterval,
                     [this, Balancer, Incarnation] { tick(Balancer, Incarnation); });
}

void fabric_simulation::crash(std::size_t Balancer) {
  std::erase_if(Platform.Instances, [&](const instance_entry &Entry) {
    return Entry.Name == Balancers[Balancer]->self().Name;
  });
  Balancers[Balancer].reset();
  Queue.scheduleCall(Now + Settings.RoutingDelay, [this] { updateNextHops(); });
}

void fabric_simulation::leave(std::size_t Balancer) {
  Balancers[Balancer]->Leaving = true;
  Balancers[Balancer]->control().leave(Now);
  Queue.scheduleCall(Now + Settings.RoutingDelay, [this] { updateNextHops(); });
}

void fabric_simulation::restart(std::size_t Balancer) { start(Balancer); }

void fabric_simulation::pause(std::size_t Balancer, duration Span) {
  find(Balancer)->Paused = true;
  Queue.scheduleCall(Now + Span, [this, Balancer, I = find(Balancer)->self().Incarnation] {
    if (find(Balancer) != nullptr && find(Balancer)->self().Incarnation == I)
      find(Balancer)->Paused = false;
  });
}

std::vector<std::size_t> fabric_simulation::running() const {
  std::vector<std::size_t> Running;
  for (std::size_t I = 0; I < Balancers.size(); ++I)
    if (Balancers[I])
      Running.push_back(I);
  return Running;
}

void fabric_simulation::updateNextHops() {
  AllNextHops.clear();
  for (auto &List : NextHops)
    List.clear();
  for (const std::size_t I : running()) {
    if (Balancers[I]->Leaving)
      continue;
    NextHops[DataCentreOf[I]].push_back(static_cast<std::uint32_t>(I));
    AllNextHops.push_back(static_cast<std::uint32_t>(I));
  }
}

void fabric_simulation::cutOff(std::size_t DataCentre, bool IsCut) {
  for (std::size_t Other = 0; Other <= DataCentreCount; ++Other) {
    if (Other == DataCentre)
      continue;
    Cut[DataCentre][Other] = IsCut;
    Cut[Other][DataCentre] = IsCut;
  }
}

std::size_t fabric_simulation::sendThroughFabric(std::span<const std::byte> Inner,
                                                 std::size_t HomeDataCentre, std::uint32_t Target) {
  const bool FromTarget = Target != NoTargetIndex;
  // Callers reach every data centre. send() drops packets of targets to a data centre that is cut
  // off.
  const bool All = Settings.Scope == ownership_scope::All;
  const std::vector<std::uint32_t> &List = All ? AllNextHops : NextHops[HomeDataCentre];
  if (List.empty())
    return HomeDataCentre;
  const std::uint32_t To = List[Random.below(List.size())];
  packet &Packet = allocate(FromTarget ? hop::FromTarget : hop::FromCaller, To, Inner);
  Packet.TargetOrVni = Target;
  send(Packet, FromTarget ? Listener.targetDataCentre(Target) : OutsideIndex, DataCentreOf[To]);
  return DataCentreOf[To];
}

fabric_simulation::packet &fabric_simulation::allocate(hop Hop, std::uint32_t Destination,
                                                       std::span<const std::byte> Inner) {
  if (FreePackets.empty()) {
    FreePackets.push_back(static_cast<std::uint32_t>(Packets.size()));
    Packets.emplace_back();
  }
  packet &Packet = Packets[FreePackets.back()];
  Packet.Hop = Hop;
  Packet.Destination = Destination;
  Packet.Size = static_cast<std::uint16_t>(std::min(Inner.size(), Packet.Inner.size()));
  std::copy_n(Inner.begin(), Packet.Size, Packet.Inner.begin());
  return Packet;
}

duration fabric_simulation::delay(std::size_t From, std::size_t To) {
  duration Base = Settings.LatencyWithinDataCentre;
  if (From == OutsideIndex || To == OutsideIndex)
    Base = Settings.Deployment.LatencyToCallers;
  else if (From != To)
    Base = Settings.Deployment.LatencyBetweenDataCentres;
  // Up to a fifth more, for reordering.
  return Base + duration(Random.below(Base.count() / 5));
}

void fabric_simulation::send(packet &Packet, std::size_t From, std::size_t To) {
  // The packet stays in the free list unless it is sent. Packets from and to callers also pass when
  // the data centre is cut off.
  const bool Caller = Packet.Hop == hop::FromCaller || Packet.Hop == hop::ToCaller;
  if (!Caller && !reachable(From, To))
    return;
  FreePackets.pop_back();
  const auto Subject = static_cast<std::uint32_t>(&Packet - Packets.data());
  Queue.add(Now + delay(From, To), event_kind::Packet, Subject);
}

void fabric_simulation::deliver(std::uint32_t Subject) {
  // A copy, because handling the packet may send others and reallocate the pool.
  const packet Packet = Packets[Subject];
  FreePackets.push_back(Subject);
  const std::span<const std::byte> Inner = std::span(Packet.Inner).first(Packet.Size);
  if (Packet.Hop == hop::ToCaller) {
    Listener.packetAtCaller(Inner);
    return;
  }
  if (Packet.Hop == hop::ToTarget) {
    Listener.packetAtTarget(Packet.Destination, service_id{Packet.TargetOrVni}, Inner);
    return;
  }
  measure::balancer *Process = find(Packet.Destination);
  if (Process == nullptr || Process->Paused)
    return;
  if (Packet.Hop == hop::FromCaller) {
    Process->data().handleForward(Inner, Now);
  } else if (Packet.Hop == hop::FromBalancer) {
    const auto Option = std::span(Packet.Option).first(Packet.OptionSize);
    if (const auto Handover = parseHandover(Packet.OptionType, Option))
      Process->data().handleHandover(*Handover, Inner, Now);
    else
      ++Malformed;
  } else if (Process->view() != nullptr) {
    // As in the daemon, the target of a reply is found by the tunnel endpoint from which it comes.
    const endpoint &Tunnel = Listener.targetTunnel(Packet.TargetOrVni);
    if (const target_view *Target = Process->view()->findTargetByTunnel(Tunnel))
      Process->data().handleReply(*Target, Inner, Now);
  }
}

void fabric_simulation::deliverControl(std::size_t From, const endpoint &To, std::string Bytes) {
  const auto Found = IndexByControlEndpoint.find(To);
  if (Found == IndexByControlEndpoint.end() || Random.unit() < PeerLoss ||
      !reachable(DataCentreOf[From], DataCentreOf[Found->second]))
    return;
  const duration Extra{Random.below(Settings.MaxPeerDelay.count() + 1)};
  const instant At = Now + delay(DataCentreOf[From], DataCentreOf[Found->second]) + Extra;
  Queue.scheduleCall(At, [this, Receiver = Found->second, Sender = makeEndpoint(From, 7400),
                          Bytes = std::move(Bytes)] {
    measure::balancer *Process = find(Receiver);
    if (Process != nullptr && !Process->Paused)
      Process->control().handleMessage(Sender, decodePeerMessage(Bytes), Now);
  });
}

void fabric_simulation::countBytes(std::size_t Balancer, traffic_kind Kind, std::size_t Bytes) {
  traffic_meter &Meter = Meters[Balancer];
  Meter.Total.Bytes[static_cast<std::size_t>(Kind)] += static_cast<double>(Bytes);
  if (Kind == traffic_kind::HandoverOptions)
    return;
  const std::int64_t Second = Now.time_since_epoch() / std::chrono::seconds(1);
  if (Second != Meter.CurrentSecond)
    Meter.BytesInCurrentSecond = 0.0;
  Meter.CurrentSecond = Second;
  Meter.BytesInCurrentSecond += static_cast<double>(Bytes);
  Meter.Total.BusiestSecond = std::max(Meter.Total.BusiestSecond, Meter.BytesInCurrentSecond);
}

control_traffic fabric_simulation::traffic() const {
  control_traffic Sum;
  for (const traffic_meter &Meter : Meters) {
    for (std::size_t I = 0; I < TrafficKindCount; ++I)
      Sum.Bytes[I] += Meter.Total.Bytes[I];
    Sum.Seconds += Meter.Total.Seconds;
    Sum.BusiestSecond = std::max(Sum.BusiestSecond, Meter.Total.BusiestSecond);
  }
  return Sum;
}

void fabric_simulation::resetTraffic() {
  for (traffic_meter &Meter : Meters)
    Meter = {};
}

} // namespace briarpoint::measure
