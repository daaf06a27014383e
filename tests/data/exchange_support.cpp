#include "tests/data/exchange_support.h"

#include <stdexcept>

namespace briarpoint::testing {

/// A balancer process: its data plane and the listener that turns actions into messages.
struct exchange::node final : data_plane_listener {
  node(exchange &Owner, member_id Self)
      : Owner(Owner), Self(Self),
        Plane(Self, Owner.Settings, Owner.Random, *this, Owner.Admission) {}

  void sendToTarget(const target_view &Target, std::span<const std::byte> Inner) override {
    Owner.AtTargets.push_back({Target.Id, Target.Service, {Inner.begin(), Inner.end()}});
  }
  void sendToCaller(std::span<const std::byte> Inner) override {
    Owner.AtCaller.emplace_back(Inner.begin(), Inner.end());
  }
  void sendToBalancer(const member_view &Member, const handover &Handover,
                      std::span<const std::byte> Inner) override {
    // Through the codec, as on the wire.
    std::array<std::byte, MaxHandoverSize> Body{};
    const std::size_t Size = writeHandover(Handover, Body);
    const std::optional<handover> Parsed = parseHandover(
        static_cast<std::uint8_t>(Handover.Kind), std::span<const std::byte>(Body).first(Size));
    if (!Parsed || *Parsed != Handover)
      throw std::logic_error("the hand-over codec changed a hand-over");
    Owner.post({Member.Id, Parsed, {}, {Inner.begin(), Inner.end()}});
  }
  void sendRecords(member_id To, std::span<const flow_record> Records) override {
    Owner.RecordsSent += Records.size();
    Owner.post({To, std::nullopt, {Records.begin(), Records.end()}, {}});
  }
  void sendTransferFinished(member_id To) override { Owner.Finished.emplace_back(Self, To); }
  void reportObservations(std::span<const target_observation> Seen) override {
    Owner.Observations.insert(Owner.Observations.end(), Seen.begin(), Seen.end());
  }

  exchange &Owner;
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

exchange::exchange(std::size_t BalancerCount, std::vector<std::size_t> TargetCounts,
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
  // The first view starts a convergence time.
  advance(Settings.ConvergencePeriod);
  Observations.clear();
}

exchange::~exchange() = default;

member_id exchange::memberId(std::size_t Index) {
  return makeMemberId("balancer" + std::to_string(Index));
}

endpoint exchange::serviceAddress(std::size_t Service) {
  return {address(198, 51, 100, static_cast<std::uint8_t>(Service + 1)), 80};
}

endpoint exchange::callerAddress(std::uint16_t Caller) {
  return {address(203, 0, 113, 7), static_cast<std::uint16_t>(10000 + Caller)};
}

target_id exchange::targetId(std::size_t Service, std::size_t Index) const {
  return Targets[Services[Service].Targets[Index]].Id;
}

std::shared_ptr<const forwarding_view> exchange::makeView() const {
  forwarding_view_parts Parts;
  Parts.Services = Services;
  Parts.Targets = Targets;
  Parts.Members = Members;
  Parts.Owners = ownership_table::build(Members, ownership_scope::DataCentre, "dc", false);
  Parts.NextOwners = ownership_table::build(Members, ownership_scope::DataCentre, "dc", true);
  Parts.AllReachable = AllReachable;
  return std::make_shared<const forwarding_view>(std::move(Parts));
}

void exchange::publishTo(std::size_t Index) {
  if (isLive(Index))
    Nodes[Index]->Plane.applyView(makeView(), Now);
}

void exchange::publish() {
  const auto View = makeView();
  for (const auto &Node : Nodes) {
    if (Node)
      Node->Plane.applyView(View, Now);
  }
}

void exchange::restart(std::size_t Index) {
  Nodes[Index] = std::make_unique<node>(*this, memberId(Index));
}

void exchange::kill(std::size_t Index) { Nodes[Index].reset(); }

void exchange::inject(std::size_t Index, const bytes &Packet) {
  if (isLive(Index))
    Nodes[Index]->Plane.handleForward(Packet, Now);
}

void exchange::forward(std::size_t Index, const bytes &Packet) {
  inject(Index, Packet);
  settle();
}

void exchange::reply(std::size_t Index, target_id Target, const bytes &Packet) {
  for (const target_view &Candidate : Targets) {
    if (Candidate.Id == Target && isLive(Index))
      Nodes[Index]->Plane.handleReply(Candidate, Packet, Now);
  }
  settle();
}

void exchange::post(message Message) {
  if (Random.unit() < Faults.Loss)
    return;
  if (Random.unit() < Faults.Duplication)
    Messages.push_back(Message);
  if (Random.unit() < Faults.Delay)
    Delayed.push_back(std::move(Message));
  else
    Messages.push_back(std::move(Message));
}

void exchange::deliver(const message &Message) {
  for (const auto &Node : Nodes) {
    if (!Node || Node->Self != Message.To)
      continue;
    if (Message.Handover)
      Node->Plane.handleHandover(*Message.Handover, Message.Packet, Now);
    else
      Node->Plane.handleRecords(Message.Records, Now);
  }
}

void exchange::settle() {
  // Without delays this ends, because hand-overs are limited.
  while (!Messages.empty()) {
    const message Message = std::move(Messages.front());
    Messages.pop_front();
    deliver(Message);
  }
}

void exchange::advance(duration Time) {
  const instant End = Now + Time;
  while (Now < End) {
    Now = std::min(End, Now + std::chrono::milliseconds(100));
    // Delayed messages arrive in random order.
    std::vector<message> Late;
    for (message &Message : Delayed) {
      if (Random.unit() < 0.5)
        Messages.push_back(std::move(Message));
      else
        Late.push_back(std::move(Message));
    }
    Delayed = std::move(Late);
    for (const auto &Node : Nodes) {
      if (Node)
        Node->Plane.tick(Now);
    }
    settle();
  }
}

data_plane &exchange::plane(std::size_t Index) { return Nodes.at(Index)->Plane; }

member_view *exchange::member(std::size_t Index) {
  for (member_view &Member : Members) {
    if (Member.Id == memberId(Index))
      return &Member;
  }
  return nullptr;
}

std::size_t exchange::ownerAt(const flow_key &Key, std::size_t Place) const {
  const auto Owners = ownership_table::build(Members, ownership_scope::DataCentre, "dc", false);
  const std::uint32_t Slot = ownership_table::slotOf(makeFlowId(Key, Settings.HashSeed));
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    if (memberId(I) == Owners.owners(Slot)[Place])
      return I;
  }
  throw std::out_of_range("the slot has fewer owners");
}

std::size_t exchange::firstOwner(const flow_key &Key) const { return ownerAt(Key, 0); }

std::uint64_t exchange::dropped(drop_reason Reason) const {
  std::uint64_t Count = 0;
  for (const auto &Node : Nodes) {
    if (Node)
      Count += Node->Plane.counters().Dropped[static_cast<std::size_t>(Reason)];
  }
  return Count;
}

const flow_record *exchange::recordAt(std::size_t Index, const flow_key &Key) {
  Scratch = plane(Index).records();
  const flow_id Id = makeFlowId(Key, Settings.HashSeed);
  for (const flow_record &Record : Scratch) {
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
    throw std::invalid_argument("not a TCP or UDP packet");
  return View;
}

} // namespace briarpoint::testing
