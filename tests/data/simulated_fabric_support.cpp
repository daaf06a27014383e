#include "tests/data/simulated_fabric_support.h"

#include <stdexcept>

namespace briarpoint::testing {

/// A balancer process: its data plane, and the listener that turns actions into messages.
struct simulated_fabric::node final : data_plane_listener {
  node(simulated_fabric &Fabric, member_id Self)
      : Fabric(Fabric), Self(Self),
        Plane(Self, Fabric.Settings, Fabric.Random, *this, Fabric.Admission) {}

  void sendToTarget(const target_view &Target, std::span<const std::byte> Inner) override {
    Fabric.AtTargets.push_back({Target.Id, Target.Service, {Inner.begin(), Inner.end()}});
  }
  void sendToCaller(std::span<const std::byte> Inner) override {
    Fabric.AtCaller.emplace_back(Inner.begin(), Inner.end());
  }
  void sendToBalancer(const member_view &Member, const handover &Handover,
                      std::span<const std::byte> Inner) override {
    // Encodes and parses the header as a real connection does.
    std::array<std::byte, MaxHandoverSize> Body{};
    const std::size_t Size = writeHandover(Handover, Body);
    const std::optional<handover> Parsed = parseHandover(
        static_cast<std::uint8_t>(Handover.Kind), std::span<const std::byte>(Body).first(Size));
    if (!Parsed || *Parsed != Handover)
      throw std::logic_error("hand-over header differs after encoding and parsing");
    Fabric.post({Member.Id, Parsed, {}, {Inner.begin(), Inner.end()}});
  }
  void sendRecords(member_id To, std::span<const flow_record> Records) override {
    Fabric.RecordsSent += Records.size();
    Fabric.post({To, std::nullopt, {Records.begin(), Records.end()}, {}});
  }
  void sendTransferFinished(member_id To) override { Fabric.Finished.emplace_back(Self, To); }
  void reportObservations(std::span<const target_observation> Reported) override {
    Fabric.Observations.insert(Fabric.Observations.end(), Reported.begin(), Reported.end());
  }

  simulated_fabric &Fabric;
  member_id Self;
  data_plane Plane;
};

namespace {

ip_address address(std::uint8_t A, std::uint8_t B, std::uint8_t C, std::uint8_t D) {
  ip_address Address;
  Address.Bytes = {A, B, C, D};
  return Address;
}

} // namespace

simulated_fabric::simulated_fabric(std::size_t BalancerCount, std::vector<std::size_t> TargetCounts,
                                   std::uint64_t Seed, data_plane_settings Settings)
    : Settings(Settings), Random(Seed), Nodes(BalancerCount) {
  for (std::size_t I = 0; I < BalancerCount; ++I)
    Members.push_back({memberId(I),
                       "dc",
                       "",
                       {address(127, 0, 1, static_cast<std::uint8_t>(I + 1)), 6081},
                       member_state::Ready,
                       false});
  for (std::size_t S = 0; S < TargetCounts.size(); ++S) {
    service_view Service{service_id{static_cast<std::uint32_t>(S + 1)}, "", {}, {}, {}};
    Service.Address = serviceAddress(S).Address;
    Service.Ports = {{80, transport::Tcp, request_class::Normal},
                     {80, transport::Udp, request_class::Critical}};
    for (std::size_t T = 0; T < TargetCounts[S]; ++T) {
      Service.Targets.push_back(static_cast<std::uint32_t>(Targets.size()));
      const auto Number = static_cast<std::uint8_t>(Targets.size() + 1);
      Targets.push_back({target_id{1000 * (S + 1) + T},
                         Service.Id,
                         {address(127, 0, 2, Number), 6081},
                         1.0,
                         true,
                         false});
    }
    Services.push_back(Service);
  }
  for (std::size_t I = 0; I < BalancerCount; ++I)
    Nodes[I] = std::make_unique<node>(*this, memberId(I));
  publish();
  // The first view starts a convergence period.
  advance(Settings.ConvergencePeriod);
  Observations.clear();
}

simulated_fabric::~simulated_fabric() = default;

member_id simulated_fabric::memberId(std::size_t Index) {
  return makeMemberId("balancer" + std::to_string(Index));
}

endpoint simulated_fabric::serviceAddress(std::size_t Service) {
  return {address(198, 51, 100, static_cast<std::uint8_t>(Service + 1)), 80};
}

endpoint simulated_fabric::callerAddress(std::uint16_t Caller) {
  return {address(203, 0, 113, 7), static_cast<std::uint16_t>(10000 + Caller)};
}

target_id simulated_fabric::targetId(std::size_t Service, std::size_t Index) const {
  return Targets[Services[Service].Targets[Index]].Id;
}

std::shared_ptr<const forwarding_view> simulated_fabric::makeView() const {
  forwarding_view_parts Parts;
  Parts.Services = Services;
  Parts.Targets = Targets;
  Parts.Members = Members;
  Parts.Owners = ownership_table::build(Members, ownership_scope::DataCentre, "dc", false);
  Parts.NextOwners = ownership_table::build(Members, ownership_scope::DataCentre, "dc", true);
  Parts.AllReachable = AllReachable;
  return std::make_shared<const forwarding_view>(std::move(Parts));
}

void simulated_fabric::publishTo(std::size_t Index) {
  if (isLive(Index))
    Nodes[Index]->Plane.applyView(makeView(), Now);
}

void simulated_fabric::publish() {
  const auto View = makeView();
  for (const auto &Node : Nodes) {
    if (Node)
      Node->Plane.applyView(View, Now);
  }
}

void simulated_fabric::restart(std::size_t Index) {
  Nodes[Index] = std::make_unique<node>(*this, memberId(Index));
}

void simulated_fabric::kill(std::size_t Index) { Nodes[Index].reset(); }

void simulated_fabric::inject(std::size_t Index, const bytes &Packet) {
  if (isLive(Index))
    Nodes[Index]->Plane.handleForward(Packet, Now);
}

void simulated_fabric::forward(std::size_t Index, const bytes &Packet) {
  inject(Index, Packet);
  deliverAll();
}

void simulated_fabric::reply(std::size_t Index, target_id Target, const bytes &Packet) {
  for (const target_view &Candidate : Targets) {
    if (Candidate.Id == Target && isLive(Index))
      Nodes[Index]->Plane.handleReply(Candidate, Packet, Now);
  }
  deliverAll();
}

void simulated_fabric::post(message Message) {
  if (Random.unit() < Faults.Loss)
    return;
  if (Random.unit() < Faults.Duplication)
    Messages.push_back(Message);
  if (Random.unit() < Faults.Delay)
    Delayed.push_back(std::move(Message));
  else
    Messages.push_back(std::move(Message));
}

void simulated_fabric::deliver(const message &Message) {
  for (const auto &Node : Nodes) {
    if (!Node || Node->Self != Message.To)
      continue;
    if (Message.Handover)
      Node->Plane.handleHandover(*Message.Handover, Message.Packet, Now);
    else
      Node->Plane.handleRecords(Message.Records, Now);
  }
}

void simulated_fabric::deliverAll() {
  // Terminates, because the number of hand-overs of a packet is limited.
  while (!Messages.empty()) {
    const message Message = std::move(Messages.front());
    Messages.pop_front();
    deliver(Message);
  }
}

void simulated_fabric::advance(duration Time) {
  const instant End = Now + Time;
  while (Now < End) {
    Now = std::min(End, Now + std::chrono::milliseconds(100));
    // Delayed messages arrive in random order.
    std::vector<message> StillDelayed;
    for (message &Message : Delayed) {
      if (Random.unit() < 0.5)
        Messages.push_back(std::move(Message));
      else
        StillDelayed.push_back(std::move(Message));
    }
    Delayed = std::move(StillDelayed);
    for (const auto &Node : Nodes) {
      if (Node)
        Node->Plane.tick(Now);
    }
    deliverAll();
  }
}

data_plane &simulated_fabric::plane(std::size_t Index) { return Nodes.at(Index)->Plane; }

member_view *simulated_fabric::member(std::size_t Index) {
  for (member_view &Member : Members) {
    if (Member.Id == memberId(Index))
      return &Member;
  }
  return nullptr;
}

std::size_t simulated_fabric::ownerAt(const flow_key &Key, std::size_t OwnerIndex) const {
  const auto Owners = ownership_table::build(Members, ownership_scope::DataCentre, "dc", false);
  const std::uint32_t Slot = ownership_table::slotOf(makeFlowId(Key, Settings.HashSeed));
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    if (memberId(I) == Owners.owners(Slot)[OwnerIndex])
      return I;
  }
  throw std::out_of_range("the flow's slot has no owner with this index");
}

std::size_t simulated_fabric::firstOwner(const flow_key &Key) const { return ownerAt(Key, 0); }

std::uint64_t simulated_fabric::dropped(drop_reason Reason) const {
  std::uint64_t Count = 0;
  for (const auto &Node : Nodes) {
    if (Node)
      Count += Node->Plane.counters().Dropped[static_cast<std::size_t>(Reason)];
  }
  return Count;
}

const flow_record *simulated_fabric::recordAt(std::size_t Index, const flow_key &Key) {
  LastRecords = plane(Index).records();
  const flow_id Id = makeFlowId(Key, Settings.HashSeed);
  for (const flow_record &Record : LastRecords) {
    if (Record.Id == Id)
      return &Record;
  }
  return nullptr;
}

bytes segment(const endpoint &Caller, const endpoint &Service, std::uint8_t Flags,
              std::uint32_t Sequence, std::uint32_t Acknowledgement, std::size_t Payload) {
  const bytes Content(Payload, std::byte{'x'});
  return buildPacket({Caller, Service, transport::Tcp, Flags, Sequence, Acknowledgement, Content});
}

bytes datagram(const endpoint &From, const endpoint &To, std::size_t Payload) {
  const bytes Content(Payload, std::byte{'x'});
  return buildPacket({From, To, transport::Udp, 0, 0, 0, Content});
}

packet_view parsed(const bytes &Packet) {
  packet_view View;
  if (parsePacket(Packet, View) != parse_error::None)
    throw std::invalid_argument("packet is not a well-formed TCP or UDP packet");
  return View;
}

} // namespace briarpoint::testing
