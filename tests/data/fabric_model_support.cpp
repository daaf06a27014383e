#include "tests/data/fabric_model_support.h"

#include <algorithm>
#include <utility>

namespace briarpoint::testing {

namespace {

constexpr duration StepInterval = std::chrono::milliseconds(200);
/// Time after a change until all balancers have the new owners and their records (a few flows
/// each).
constexpr duration RecoveryPeriod = std::chrono::seconds(40);

} // namespace

fabric_model::fabric_model(std::uint64_t Seed, message_faults Faults)
    : Net(BalancerCount, {4, 3}, Seed) {
  Net.Faults = Faults;
}

std::size_t fabric_model::randomLive() {
  std::size_t Index = 0;
  do
    Index = Net.Random.below(BalancerCount);
  while (!Net.isLive(Index));
  return Index;
}

void fabric_model::openFlow(bool Udp) {
  caller_flow Flow;
  Flow.Caller = simulated_fabric::callerAddress(static_cast<std::uint16_t>(Flows.size()));
  Flow.Service = Flows.size() % 2;
  Flow.Protocol = Udp ? transport::Udp : transport::Tcp;
  Flow.Next = FirstSequence;
  Flows.push_back(Flow);
  sendSetup(Flows.back());
  process();
}

void fabric_model::sendSetup(caller_flow &Flow) {
  Flow.RetryAt = Net.Now + std::chrono::seconds(1);
  const endpoint Service = simulated_fabric::serviceAddress(Flow.Service);
  Net.forward(randomLive(), Flow.Protocol == transport::Udp
                                ? datagram(Flow.Caller, Service)
                                : segment(Flow.Caller, Service, TcpSyn, FirstSequence));
}

void fabric_model::sendData(caller_flow &Flow) {
  const endpoint Service = simulated_fabric::serviceAddress(Flow.Service);
  if (Flow.Protocol == transport::Udp) {
    // The interval is below the idle timeout, or the flow would end.
    Flow.RetryAt = Net.Now + std::chrono::seconds(50);
    Net.forward(randomLive(), datagram(Flow.Caller, Service));
    return;
  }
  // An upload: each segment has data, and the target sends none.
  Net.forward(randomLive(), segment(Flow.Caller, Service, TcpAck | TcpPsh, Flow.Next, 1, 10));
  Flow.Next += 10;
}

void fabric_model::sendOnFlow(std::size_t Flow) {
  if (Flows.empty())
    return;
  caller_flow &Chosen = Flows[Flow % Flows.size()];
  if (Chosen.State == caller_state::Open)
    sendData(Chosen);
  process();
}

void fabric_model::closeFlow(std::size_t Flow) {
  if (Flows.empty())
    return;
  caller_flow &Chosen = Flows[Flow % Flows.size()];
  if (Chosen.State != caller_state::Open || Chosen.Protocol == transport::Udp)
    return;
  Chosen.State = caller_state::Closed;
  Net.forward(randomLive(), segment(Chosen.Caller, simulated_fabric::serviceAddress(Chosen.Service),
                                    TcpFin | TcpAck, Chosen.Next, 1));
  process();
}

bool fabric_model::mayChangeMembers() const {
  return PlannedChanges.empty() && Net.Now >= NextFaultAt;
}

void fabric_model::killBalancers(std::size_t Count) {
  // Four copies of a record survive three failures. Further failures follow only after all records
  // have four copies again.
  if (!mayChangeMembers())
    return;
  for (std::size_t I = 0; I < Count && Net.Members.size() > 4; ++I) {
    const std::size_t Victim = randomLive();
    if (Net.member(Victim) == nullptr || Net.member(Victim)->Suspected)
      continue;
    Net.kill(Victim);
    scheduleChange(std::chrono::milliseconds(2500), Victim, change::Suspect);
    scheduleChange(std::chrono::seconds(4), Victim, change::Remove);
  }
}

void fabric_model::leaveBalancer() {
  if (!mayChangeMembers() || Net.Members.size() <= 4)
    return;
  const std::size_t Index = randomLive();
  Net.member(Index)->State = member_state::Leaving;
  scheduleChange(std::chrono::seconds(15), Index, change::Stop);
  schedulePublish();
}

void fabric_model::joinBalancer() {
  if (!mayChangeMembers())
    return;
  for (std::size_t I = 0; I < BalancerCount; ++I) {
    if (Net.member(I) != nullptr)
      continue;
    Net.restart(I);
    member_view Member = Net.Members.front();
    Member.Id = simulated_fabric::memberId(I);
    Member.Data.Address.Bytes[3] = static_cast<std::uint8_t>(I + 1);
    Member.State = member_state::Joining;
    Net.Members.push_back(Member);
    // The joining balancer gets its view first, because it requests one.
    Net.publishTo(I);
    scheduleChange(std::chrono::seconds(20), I, change::Ready);
    schedulePublish();
    return;
  }
}

void fabric_model::drainTarget(std::size_t Target) {
  std::size_t Accepting = 0;
  const target_view &Chosen = Net.Targets[Target % Net.Targets.size()];
  for (const target_view &Other : Net.Targets)
    Accepting += Other.Service == Chosen.Service && Other.AcceptsNew ? 1 : 0;
  if (Accepting > 1)
    Net.Targets[Target % Net.Targets.size()].AcceptsNew = false;
  schedulePublish();
}

void fabric_model::scheduleChange(duration Wait, std::size_t Balancer, change Change) {
  PlannedChanges.push_back({Net.Now + Wait, Balancer, Change});
}

void fabric_model::apply(const planned_change &Planned) {
  switch (Planned.Change) {
  case change::Suspect:
    Net.member(Planned.Balancer)->Suspected = true;
    break;
  case change::Ready:
    Net.member(Planned.Balancer)->State = member_state::Ready;
    break;
  case change::Stop:
    Net.kill(Planned.Balancer);
    [[fallthrough]];
  case change::Remove:
    std::erase_if(Net.Members, [&](const member_view &Member) {
      return Member.Id == simulated_fabric::memberId(Planned.Balancer);
    });
    break;
  }
  NextFaultAt = Net.Now + RecoveryPeriod;
  schedulePublish();
}

void fabric_model::schedulePublish() {
  // A view reaches each balancer at a random time within 1 s. A view that is already scheduled for
  // a balancer includes the present change.
  for (instant &At : PublishAt)
    At = std::min(At, Net.Now + std::chrono::milliseconds(Net.Random.below(1000)));
}

void fabric_model::run(duration Time) {
  const instant End = Net.Now + Time;
  while (Net.Now < End)
    step();
}

void fabric_model::step() {
  Net.advance(StepInterval);
  const std::vector<planned_change> All = PlannedChanges;
  std::erase_if(PlannedChanges,
                [&](const planned_change &Planned) { return Planned.At <= Net.Now; });
  for (const planned_change &Planned : All) {
    if (Planned.At <= Net.Now)
      apply(Planned);
  }
  for (std::size_t I = 0; I < BalancerCount; ++I) {
    if (PublishAt[I] <= Net.Now) {
      PublishAt[I] = Never;
      Net.publishTo(I);
    }
  }
  for (std::size_t I = 0; I < Flows.size(); ++I) {
    if (Net.Now < Flows[I].RetryAt)
      continue;
    if (Flows[I].State == caller_state::Opening)
      sendSetup(Flows[I]);
    else if (Flows[I].State == caller_state::Open && Flows[I].Protocol == transport::Udp)
      sendData(Flows[I]);
  }
  process();
}

void fabric_model::process() {
  while (!Net.AtTargets.empty() || !Net.AtCaller.empty()) {
    const std::vector<target_packet> Arrived = std::exchange(Net.AtTargets, {});
    for (const target_packet &Packet : Arrived)
      receiveAtTarget(Packet);
    const std::vector<bytes> Replies = std::exchange(Net.AtCaller, {});
    for (const bytes &Packet : Replies)
      receiveAtCaller(Packet);
  }
}

fabric_model::caller_flow *fabric_model::flowOf(const endpoint &Caller) {
  for (caller_flow &Flow : Flows) {
    if (Flow.Caller == Caller)
      return &Flow;
  }
  return nullptr;
}

void fabric_model::receiveAtTarget(const target_packet &Arrived) {
  const packet_view Packet = parsed(Arrived.Packet);
  caller_flow &Flow = *flowOf(Packet.Source);
  const endpoint Service = simulated_fabric::serviceAddress(Flow.Service);
  if (Arrived.Service != Net.Services[Flow.Service].Id)
    addViolation("a packet reached a target of another service");
  const bool IsOtherTarget = Flow.State == caller_state::Open && Flow.Target != Arrived.Target;
  if (!Packet.isSetup() && IsOtherTarget)
    addViolation("a packet of an open flow reached another target");
  if (!IsOtherTarget)
    ++Flow.Delivered;

  // The sequence number of a TCP reply, or the size of a UDP reply, identifies the target.
  const auto Number = static_cast<std::uint32_t>(Arrived.Target);
  if (!Packet.isTcp())
    Net.reply(randomLive(), Arrived.Target, datagram(Service, Flow.Caller, Number % 1000 + 1));
  else if (Packet.isSetup())
    Net.reply(randomLive(), Arrived.Target,
              segment(Service, Flow.Caller, TcpSyn | TcpAck, Number, FirstSequence + 1));
  else if (Packet.has(TcpFin))
    Net.reply(randomLive(), Arrived.Target,
              segment(Service, Flow.Caller, TcpFin | TcpAck, Number, Packet.Sequence + 1));
}

void fabric_model::receiveAtCaller(const bytes &Bytes) {
  packet_view Packet;
  if (parsePacket(Bytes, Packet) != parse_error::None) {
    addViolation("a caller got an ICMP message");
    return;
  }
  caller_flow &Flow = *flowOf(Packet.Destination);
  const bool Open = Flow.State == caller_state::Open;
  target_id From{Packet.Sequence};
  if (!Packet.isTcp())
    From = target_id{1000 * (Flow.Service + 1) + Packet.PayloadSize - 1};
  if (Open && Packet.has(TcpRst))
    addViolation("an open flow was reset");
  if (Open && From != Flow.Target)
    addViolation("an open flow got a reply of another target");
  const bool Accepts = !Packet.isTcp() || (Packet.has(TcpSyn) && Packet.has(TcpAck));
  if (Flow.State != caller_state::Opening || !Accepts)
    return;
  Flow.State = caller_state::Open;
  Flow.Target = From;
  Flow.Next = FirstSequence + 1;
  ++Established;
  sendData(Flow);
}

void fabric_model::checkOpenFlows() {
  Net.Faults = {};
  run(std::chrono::seconds(60));
  for (std::size_t I = 0; I < Flows.size(); ++I) {
    if (Flows[I].State == caller_state::Opening)
      addViolation("a flow never opened");
    if (Flows[I].State != caller_state::Open)
      continue;
    const std::size_t Before = Flows[I].Delivered;
    sendOnFlow(I);
    if (Flows[I].Delivered != Before + 1)
      addViolation("a packet of an open flow did not reach its target");
  }
}

} // namespace briarpoint::testing
