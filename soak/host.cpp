#include "soak/host.h"

#include "net/byte_order.h"
#include "platform/packet_layout.h"

#include <algorithm>

namespace briarpoint::soak {

using namespace platform;

host::host(host_environment &Environment, std::string Name, std::uint64_t Identity,
           std::string Service, const ipv4_endpoint &Address)
    : Environment(Environment), Name(std::move(Name)), Identity(Identity),
      Service(std::move(Service)), Address(Address),
      Socket(Environment.Loop, Address,
             [this](std::span<const std::byte> Datagram) { receive(Datagram); }) {}

void host::answer(const flow_packet &Packet, flow &Flow, unsigned char Flags,
                  const std::string &Data) {
  const flow_packet Answer{Flags,
                           Flow.NextSequence,
                           Flow.NextExpected,
                           Packet.Echo,
                           Packet.Destination,
                           Packet.Source,
                           Data,
                           true};
  Flow.NextSequence += static_cast<std::uint32_t>(Data.size());
  Socket.send({Packet.Source.Address, Environment.CallerPort}, encode(Answer));
}

void host::receive(std::span<const std::byte> Datagram) {
  if (Silent || Datagram.size() < HostPrefixSize || loadU64(Datagram.data()) != Identity)
    return;
  const std::optional<flow_packet> Packet = decode(Datagram.subspan(HostPrefixSize));
  if (!Packet || !Packet->ChecksumValid) {
    Environment.Violations.add("packets reach hosts unchanged", Name);
    return;
  }
  const flow_address Address{Packet->Source, Packet->Destination};
  const auto Route = Environment.Routes.find(Packet->Destination);
  if (Route == Environment.Routes.end() || !Route->second.contains(Service)) {
    Environment.Violations.add("packets reach their own service only",
                               toString(Packet->Destination) + " at " + Service);
    return;
  }
  if ((Packet->Flags & Synchronize) != 0) {
    const auto [Entry, New] = Flows.try_emplace(Address);
    flow &Flow = Entry->second;
    // A repeat of the packet that opened the flow must not reset its state.
    if (New || Flow.InitialSequence != Packet->Sequence) {
      Flow = {Packet->Sequence, Packet->Sequence + 1, 0};
      ++AcceptedFlows;
      Environment.OnFlowAccepted(*this, Address);
    }
    flow Opening{Flow.InitialSequence, Flow.InitialSequence + 1, 0};
    answer(*Packet, Opening, Synchronize | Acknowledge, "");
    Flow.NextSequence = std::max(Flow.NextSequence, 1U);
    return;
  }
  const auto Found = Flows.find(Address);
  if (Found == Flows.end()) {
    // The platform's hosts reset flows that they don't hold.
    flow Unknown{0, 0, Packet->Acknowledged};
    answer(*Packet, Unknown, Reset | Acknowledge, "");
    return;
  }
  if ((Packet->Flags & Finish) != 0) {
    Flows.erase(Found);
    return;
  }
  flow &Flow = Found->second;
  if (Packet->Data.empty())
    return;
  if (Packet->Sequence == Flow.NextExpected) {
    Flow.NextExpected += static_cast<std::uint32_t>(Packet->Data.size());
    if (Packet->Data.starts_with("unsafe") &&
        !Environment.ExecutedRequests.insert(Packet->Data).second)
      Environment.Violations.add("a non-idempotent request runs at most once", Packet->Data);
    answer(*Packet, Flow, Acknowledge, "done " + Packet->Data);
  } else {
    // A repeat of an answered request: send the answer again.
    const std::string Answer = "done " + Packet->Data;
    Flow.NextSequence -= static_cast<std::uint32_t>(Answer.size());
    answer(*Packet, Flow, Acknowledge, Answer);
  }
}

} // namespace briarpoint::soak
