#include "standins/traffic_standin.h"

#include "standins/tcp_caller_flow.h"
#include "standins/udp_caller_flow.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Number of ports used per caller address, and the first one, above the well-known ports.
constexpr std::uint32_t PortsPerAddress = 60000;
constexpr std::uint32_t FirstPort = 2000;

/// Caller endpoint of flow \p Number, within 198.18.0.0/15 (reserved for tests, RFC 2544).
endpoint callerEndpoint(std::uint32_t Number) {
  const std::uint32_t Host = 1 + Number / PortsPerAddress;
  endpoint Caller;
  Caller.Address.Bytes[0] = 198;
  Caller.Address.Bytes[1] = 18;
  Caller.Address.Bytes[2] = static_cast<std::uint8_t>(Host >> 8U);
  Caller.Address.Bytes[3] = static_cast<std::uint8_t>(Host);
  Caller.Port = static_cast<std::uint16_t>(FirstPort + Number % PortsPerAddress);
  return Caller;
}

std::uint64_t traffic_result::*counterOf(flow_outcome Outcome) {
  switch (Outcome) {
  case flow_outcome::Finished:
    return &traffic_result::Finished;
  case flow_outcome::Refused:
    return &traffic_result::Refused;
  case flow_outcome::Broken:
    return &traffic_result::Broken;
  case flow_outcome::Unanswered:
    return &traffic_result::Unanswered;
  case flow_outcome::WrongService:
    return &traffic_result::WrongService;
  case flow_outcome::WrongAnswer:
    return &traffic_result::WrongAnswer;
  case flow_outcome::Running:
    break;
  }
  return &traffic_result::Running;
}

} // namespace

traffic_standin::traffic_standin(traffic_settings AllSettings, instant Start)
    : Settings(std::move(AllSettings)), Start(Start), Random(Settings.Seed) {}

std::uint32_t traffic_standin::totalFlows() const {
  return static_cast<std::uint32_t>(Settings.Services.size()) *
         (Settings.TcpFlows + Settings.UdpFlows);
}

void traffic_standin::openFlow(std::uint32_t Number, instant Now) {
  const std::size_t Index = Number % Settings.Services.size();
  const traffic_service &Service = Settings.Services[Index];
  // TCP and UDP flows are spread evenly over the run.
  const std::uint32_t PerService = Settings.TcpFlows + Settings.UdpFlows;
  const auto Ordinal = static_cast<std::uint32_t>(Number / Settings.Services.size());
  const bool IsTcp = static_cast<std::uint64_t>(Ordinal) * Settings.TcpFlows / PerService !=
                     static_cast<std::uint64_t>(Ordinal + 1) * Settings.TcpFlows / PerService;
  caller_settings Caller;
  Caller.Caller = callerEndpoint(Number);
  Caller.Service = IsTcp ? Service.Tcp : Service.Udp;
  Caller.Vni = Service.Vni;
  Caller.Token = "flow" + std::to_string(Number);
  Caller.Requests = Settings.Requests;
  Caller.Pause = Settings.Pause;
  entry &Entry = Flows[{Caller.Caller, Caller.Service}];
  Entry.Service = Index;
  if (IsTcp)
    Entry.Flow =
        std::make_unique<tcp_caller_flow>(Caller, static_cast<std::uint32_t>(Random.next()));
  else
    Entry.Flow = std::make_unique<udp_caller_flow>(Caller);
  Entry.Flow->tick(Now);
}

void traffic_standin::tick(instant Now) {
  const std::uint64_t Total = totalFlows();
  const double Elapsed = static_cast<double>((Now - Start).count());
  const double Share = std::min(1.0, Elapsed / static_cast<double>(Settings.OpeningPeriod.count()));
  while (Opened < Total && Opened < Share * static_cast<double>(Total))
    openFlow(Opened++, Now);
  for (auto &[Key, Entry] : Flows)
    Entry.Flow->tick(Now);
}

void traffic_standin::handlePacket(std::span<const std::byte> Packet, instant Now) {
  const std::optional<segment> Segment = parseSegment(Packet);
  if (!Segment) {
    ++Malformed;
    return;
  }
  // An ICMP error has the endpoints of the caller's packet that it quotes.
  const bool IsIcmp = Segment->Kind == segment_kind::Icmp;
  const auto Found = Flows.find(IsIcmp ? flow_endpoints{Segment->Source, Segment->Destination}
                                       : flow_endpoints{Segment->Destination, Segment->Source});
  if (Found == Flows.end()) {
    ++Stray;
    return;
  }
  Found->second.Flow->handle(*Segment, Now);
}

std::vector<std::vector<std::byte>> traffic_standin::takeOutgoing() {
  std::vector<std::vector<std::byte>> Packets;
  for (auto &[Key, Entry] : Flows)
    for (const segment &Segment : Entry.Flow->takeOutgoing())
      Packets.push_back(encodeSegment(Segment));
  return Packets;
}

bool traffic_standin::finished() const {
  return Opened == totalFlows() && std::all_of(Flows.begin(), Flows.end(), [](const auto &Entry) {
           return Entry.second.Flow->outcome() != flow_outcome::Running;
         });
}

double traffic_standin::imbalance(const std::map<std::string, std::uint64_t> &Targets) const {
  std::uint64_t Largest = 0;
  std::uint64_t Sum = 0;
  std::uint64_t Count = 0;
  for (const auto &[Name, Flows] : Targets) {
    if (std::count(Settings.Drained.begin(), Settings.Drained.end(), Name) != 0)
      continue;
    Largest = std::max(Largest, Flows);
    Sum += Flows;
    ++Count;
  }
  return Sum == 0 ? 1.0 : static_cast<double>(Largest * Count) / static_cast<double>(Sum);
}

traffic_result traffic_standin::result() const {
  traffic_result Result;
  Result.Flows = Flows.size();
  Result.Stray = Stray;
  Result.Malformed = Malformed;
  for (const auto &[Key, Entry] : Flows) {
    ++(Result.*counterOf(Entry.Flow->outcome()));
    if (!Entry.Flow->target().empty())
      ++Result.FlowsPerTarget[Settings.Services[Entry.Service].Name][Entry.Flow->target()];
  }
  for (const auto &[Service, Targets] : Result.FlowsPerTarget)
    Result.Imbalance = std::max(Result.Imbalance, imbalance(Targets));
  return Result;
}

} // namespace briarpoint
