#include "soak/scenario.h"

#include "platform/packet_layout.h"
#include "soak/flow_packet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>

namespace briarpoint::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t PacketPort = 7001;
constexpr std::uint16_t HostPort = 8080;
constexpr duration TickInterval = milliseconds(20);
/// Time at the end without new faults: what was hit comes back, and calls must be served again. The
/// platform's bound for recovery.
constexpr duration CalmTime = seconds(12);
/// Part of the calm time after which calls are counted.
constexpr duration SettleTime = seconds(6);
/// Part of the calm time after which hosts drain; all faults have ended by then.
constexpr duration DrainStart = seconds(5);
/// Time after which a draining host gets no new flows: drain_time of the forwarders.
constexpr duration DrainTime = seconds(3);
/// Nodes that are killed when the store cuts its watches.
constexpr int KilledAtCut = 2;
/// Bounds of the promises: a host that has stood still this long ago says nothing about a reset,
/// and after trouble a node must know what it missed.
constexpr duration ContactTime = seconds(4);
/// A stall of this process that makes its hosts look silent; callers repeat after 200 ms.
constexpr duration StallTime = milliseconds(100);
constexpr const char *Services[] = {"web", "mail"};
/// Index of the route that each configuration leads to another service; callers don't use it.
constexpr std::size_t MovingRoute = 2;
constexpr duration ProbeInterval = milliseconds(500);
/// Time after which a configuration is in force: configuration_time of the forwarders.
constexpr duration ConfigurationTime = seconds(3);

} // namespace

scenario::scenario(const scenario_settings &AllSettings)
    : Settings(AllSettings),
      Random(AllSettings.Seed), Hosts{Loop,
                                      Violations,
                                      PacketPort,
                                      {},
                                      {},
                                      [this](const host &Host, const ipv4_endpoint &Service) {
                                        judgeAccepted(Host, Service);
                                      }},
      Callers{Loop,
              Random,
              Violations,
              Counters,
              PacketPort,
              [this](const flow_address &Flow) { return choose(Flow); },
              [this](const flow_address &Flow) { judgeReset(Flow); }},
      Store(Loop.base(), toEndpoint(address(9, 0, 8500))),
      HistoryLoss(Store, AllSettings.Seed, [this](random_source &Choice) { cutWatches(Choice); }),
      Prober(Loop, address(2, Settings.Callers, PacketPort), [](std::span<const std::byte>) {}) {
  std::filesystem::create_directories(Settings.Folder);
  for (std::size_t Service = 0; Service < 2; ++Service)
    Hosts.Routes[address(8, Service, 443)] = {Services[Service]};
  Hosts.Routes[address(8, MovingRoute, 443)] = {Services[0], Services[1]};
  writeRoutes();
  for (std::size_t I = 0; I < 2 * Settings.HostsPerService; ++I) {
    Slots.push_back({nullptr, Services[I % 2], address(3, I, HostPort), false, Never});
    startHost(Slots.back());
  }
  for (std::size_t I = 0; I < Settings.Forwarders; ++I) {
    const std::string Name = "forwarder-" + std::to_string(I);
    const endpoint Proxy = toEndpoint(address(5, I, 8500));
    const ipv4_endpoint Packets = address(1, I, PacketPort);
    const std::string Text =
        "name = \"" + Name + "\"\ndata_centre = \"soak\"\nstore = \"" + toString(Proxy) +
        "\"\nshutdown_time = \"4s\"\n[listen]\npackets = \"" + toString(Packets) +
        "\"\nreadiness = \"" + toString(address(1, I, 7002)) + "\"\noperator = \"" +
        toString(address(1, I, 7003)) + "\"\n";
    Nodes.push_back(
        {std::make_unique<store_proxy>(Loop, Proxy, Store.address()),
         std::make_unique<forwarder_process>(Settings.Program, Settings.Folder, Name, Text),
         Packets, Never});
    Nodes.back().Process->start();
  }
  for (std::size_t I = 0; I < Settings.Callers; ++I)
    Crowd.push_back(
        std::make_unique<caller>(Callers, address(2, I, 0).Address, address(8, I % 2, 443)));
}

ipv4_endpoint scenario::address(std::uint32_t Group, std::size_t Index, std::uint16_t Port) const {
  return {127U << 24U | Settings.Network << 16U | Group << 8U |
              static_cast<std::uint32_t>(Index + 1),
          Port};
}

void scenario::startHost(slot &Slot) {
  const std::uint64_t Number = NextNumber++ << 32U | (Random.next() & 0xffffffffU);
  char Name[32];
  std::snprintf(Name, sizeof(Name), "i-%llx", static_cast<unsigned long long>(Number));
  Slot.Host.reset();
  Slot.Host = std::make_unique<host>(Hosts, Name, Number, Slot.Service, Slot.Address);
  Slot.Draining = false;
  Slot.DrainedAt = Never;
  Slot.EndsAt = Never;
  registerHost(Slot);
}

void scenario::registerHost(const slot &Slot) {
  const nlohmann::json Entry{{"service", Slot.Service},
                             {"address", toString(Slot.Address)},
                             {"zone", "soak"},
                             {"max_concurrency", 2},
                             {"state", Slot.Draining ? "draining" : "ready"}};
  Store.writeObject("servers", Slot.Host->name(), Entry.dump());
}

void scenario::writeRoutes() {
  nlohmann::json Routes = nlohmann::json::array();
  ++Version;
  for (const auto &[Address, Allowed] : Hosts.Routes) {
    const std::string Service = Allowed.size() == 1 ? *Allowed.begin() : movingService();
    Routes.push_back({{"name", toString(Address)},
                      {"hostname", toString(toEndpoint(Address).Address)},
                      {"path_prefix", "/" + std::to_string(Address.Port) + "/"},
                      {"service", Service}});
  }
  RoutesWrittenAt = Clock.now();
  Store.writeObject("config", "main",
                    nlohmann::json{{"version", Version}, {"routes", Routes}}.dump());
}

std::optional<ipv4_endpoint> scenario::choose(const flow_address &Flow) {
  // The node with the highest hash, so that only the flows of a node that leaves move.
  const node *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const node &Node : Nodes) {
    if (Node.Process->paused() || !Node.Process->running())
      continue;
    const std::uint64_t Hash = mixHash(flow_address_hash()(Flow), Node.Packets.Address);
    if (Best == nullptr || Hash > BestHash) {
      Best = &Node;
      BestHash = Hash;
    }
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Packets);
}

void scenario::judgeReset(const flow_address &Flow) {
  // The host lives and holds the flow, so only its own silence could explain a reset.
  const bool Held = std::any_of(Slots.begin(), Slots.end(), [&](const slot &Slot) {
    return Slot.Host != nullptr && Slot.Host->holds(Flow);
  });
  if (Held && Settings.JudgeTimes && Clock.now() >= StalledUntil)
    Violations.add("a flow whose host answers isn't reset", toString(Flow.Caller));
}

void scenario::faultAtNode(node &Node) {
  const instant Now = Clock.now();
  // A node that was hit and isn't restored yet may be hit again.
  Node.RestoreAt = Now + milliseconds(500 + Random.below(4000));
  switch (Random.below(7)) {
  case 0:
    Node.Process->signal(SIGKILL);
    break;
  case 1:
    Node.Process->signal(SIGTERM);
    break;
  case 2:
    Node.Process->setPaused(true);
    break;
  case 3:
    Node.Process->signal(SIGHUP);
    break;
  case 4:
    Node.Proxy->setFault(proxy_fault::Silent);
    break;
  case 5:
    Node.Proxy->setFault(proxy_fault::AnswersLost);
    break;
  default:
    Node.Proxy->setFault(proxy_fault::Reset);
  }
}

void scenario::faultAtHost(slot &Slot) {
  const instant Now = Clock.now();
  if (Slot.Host == nullptr || Slot.EndsAt != Never)
    return;
  if (Random.below(2) == 0) {
    // A planned end: the entry says so, the host goes on for a while.
    Slot.Draining = true;
    Slot.DrainedAt = Now;
    registerHost(Slot);
    Slot.EndsAt = Now + milliseconds(3000 + Random.below(3000));
  } else {
    // A crash: the host falls silent, and its entry is removed later.
    Slot.EndsAt = Now + milliseconds(1000 + Random.below(3000));
    const std::string Name = Slot.Host->name();
    Slot.Host.reset();
    Store.removeObject("servers", Name);
    // Another service may take over the address.
    Slot.Service = Services[Random.below(2)];
  }
}

void scenario::faultAtStore() {
  standins::platform_faults Faults;
  switch (Random.below(5)) {
  case 0:
    Faults.Down = true;
    break;
  case 1:
    Faults.RateLimited = true;
    break;
  case 2:
    Faults.Hang = true;
    break;
  case 3:
    Faults.HistoryGone = true;
    break;
  default:
    Faults.DelayMs = 300;
  }
  Store.setFaults(Faults);
  StoreBackAt = Clock.now() + milliseconds(500 + Random.below(4000));
}

std::string scenario::movingService() const { return Services[Version % 2]; }

bool scenario::calm() {
  const instant Now = Clock.now();
  return Now >= TroubledAt + ContactTime && Now >= StalledUntil;
}

void scenario::judgeAccepted(const host &Host, const ipv4_endpoint &Service) {
  if (!Settings.JudgeTimes || !calm())
    return;
  judgeDrain(Host);
  if (Service == address(8, MovingRoute, 443))
    judgeRoute(Host);
}

void scenario::judgeDrain(const host &Host) {
  const auto Slot = std::find_if(Slots.begin(), Slots.end(), [&](const slot &Candidate) {
    return Candidate.Host.get() == &Host;
  });
  if (Slot != Slots.end() && Slot->DrainedAt != Never && Clock.now() >= Slot->DrainedAt + DrainTime)
    Violations.add("a draining host gets no new flows", Host.name());
}

void scenario::judgeRoute(const host &Host) {
  if (Clock.now() >= RoutesWrittenAt + ConfigurationTime && Host.service() != movingService())
    Violations.add("a configuration is in force everywhere", Host.name());
}

void scenario::probeRoutes() {
  ProbePort = ProbePort == 60000 ? 1024 : ProbePort + 1;
  flow_packet Opening;
  Opening.Flags = platform::Synchronize;
  Opening.Sequence = ProbePort;
  Opening.Source = {address(2, Settings.Callers, 0).Address, ProbePort};
  Opening.Destination = address(8, MovingRoute, 443);
  for (const node &Node : Nodes) {
    Prober.send(Node.Packets, encode(Opening));
    // Another flow for each node.
    ++Opening.Source.Address;
  }
}

void scenario::drainForGood() {
  for (const char *Service : Services) {
    const auto Slot = std::find_if(Slots.begin(), Slots.end(), [&](const slot &Candidate) {
      return Candidate.Service == Service && Candidate.Host != nullptr && Candidate.EndsAt == Never;
    });
    if (Slot == Slots.end())
      continue;
    Slot->Draining = true;
    Slot->DrainedAt = Clock.now();
    registerHost(*Slot);
  }
  writeRoutes();
  DrainedForGood = true;
}

void scenario::cutWatches(random_source &Choice) {
  for (const node &Node : Nodes)
    Node.Proxy->endConnections();
  // Processes that start just now list and watch before the history is gone.
  for (int I = 0; I < KilledAtCut; ++I) {
    const node &Node = Nodes[Choice.below(Nodes.size())];
    if (Node.RestoreAt == Never)
      Node.Process->signal(SIGKILL);
  }
}

bool scenario::troubled() {
  return StoreBackAt != Never || HistoryLoss.inProgress() ||
         std::any_of(Nodes.begin(), Nodes.end(), [](const node &Node) {
           return Node.RestoreAt != Never || !Node.Process->running();
         });
}

void scenario::injectFault() {
  switch (Random.below(8)) {
  case 0:
    faultAtStore();
    break;
  case 1:
    writeRoutes();
    break;
  case 2:
  case 3:
    faultAtHost(Slots[Random.below(Slots.size())]);
    break;
  default:
    faultAtNode(Nodes[Random.below(Nodes.size())]);
  }
  NextFault = Clock.now() + milliseconds(Random.below(1200));
}

void scenario::restore() {
  const instant Now = Clock.now();
  if (Now >= StoreBackAt) {
    Store.setFaults({});
    StoreBackAt = Never;
  }
  for (node &Node : Nodes) {
    if (Now < Node.RestoreAt)
      continue;
    Node.RestoreAt = Never;
    Node.Proxy->setFault(proxy_fault::None);
    if (Node.Process->paused())
      Node.Process->setPaused(false);
  }
  for (node &Node : Nodes)
    if (!Node.Process->running() && Node.RestoreAt == Never)
      Node.Process->start();
  for (slot &Slot : Slots) {
    if (Now < Slot.EndsAt)
      continue;
    if (Slot.Host != nullptr)
      Store.removeObject("servers", Slot.Host->name());
    startHost(Slot);
  }
}

void scenario::tick() {
  const instant Now = Clock.now();
  if (Now - LastTick > StallTime)
    StalledUntil = Now + ContactTime;
  LastTick = Now;
  restore();
  HistoryLoss.step(Now, Now < Start + Settings.Length - CalmTime);
  if (troubled())
    TroubledAt = Now;
  const instant CalmAt = Start + Settings.Length - CalmTime;
  if (Now < CalmAt) {
    if (Now >= NextFault)
      injectFault();
  } else if (SentAtCalm == 0 && Now >= CalmAt + SettleTime) {
    SentAtCalm = Counters.Sent;
    ServedAtCalm = Counters.Served;
  }
  if (Now >= NextProbe) {
    probeRoutes();
    NextProbe = Now + ProbeInterval;
  }
  if (!DrainedForGood && Now >= CalmAt + DrainStart)
    drainForGood();
  if (Now >= Start + Settings.Length)
    Loop.stop();
}

bool scenario::run() {
  Start = LastTick = Clock.now();
  // The processes start before the first fault.
  NextFault = Start + seconds(2);
  HistoryLoss.start(Start);
  Loop.onInterval(TickInterval, [this] { tick(); });
  // An interrupted run ends its processes, too.
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { Loop.stop(); });
  Loop.run();

  int Crashes = 0;
  for (node &Node : Nodes)
    Crashes += Node.Process->crashes();
  if (Crashes > 0)
    Violations.add("processes don't end by themselves", std::to_string(Crashes));
  // Requests that are under way at the end aren't counted as served.
  const std::uint64_t Sent = Counters.Sent - SentAtCalm;
  const std::uint64_t Served = Counters.Served - ServedAtCalm;
  if (Settings.JudgeTimes && (Sent == 0 || Served * 10 < Sent * 9))
    Violations.add("calls are served after the faults",
                   std::to_string(Served) + " of " + std::to_string(Sent));
  std::printf("seed %llu: %llu requests, %llu served, %llu failed; %llu resets by forwarders; "
              "%zu broken promises\n",
              static_cast<unsigned long long>(Settings.Seed),
              static_cast<unsigned long long>(Counters.Sent),
              static_cast<unsigned long long>(Counters.Served),
              static_cast<unsigned long long>(Counters.Failed),
              static_cast<unsigned long long>(Counters.ForwarderResets),
              Violations.counts().size());
  return Violations.counts().empty();
}

} // namespace briarpoint::soak
