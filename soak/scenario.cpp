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
constexpr std::uint16_t PeerPort = 7004;
constexpr std::uint16_t HostPort = 8080;
/// Number of forwarders that read the store's revision for the others.
constexpr std::size_t SeedCount = 2;
constexpr duration TickInterval = milliseconds(20);
/// Final part of a run without new faults. Faults end and requests must be served again within it;
/// this is the platform's bound for recovery.
constexpr duration FaultFreePeriod = seconds(12);
/// Delay from the start of the fault-free period until requests are counted.
constexpr duration SettlePeriod = seconds(6);
/// Delay from the start of the fault-free period until the final drain; all faults have ended by
/// then.
constexpr duration FinalDrainOffset = seconds(5);
/// Time after which a draining host must get no new flows: drain_time of the forwarders.
constexpr duration DrainTimeout = seconds(3);
/// Number of random nodes to kill when connections to the store are cut.
constexpr int NodesKilledAtCut = 2;
/// Time after a fault within which a forwarder must have caught up with the store. After a stall of
/// this process, resets aren't checked for the same time, because its hosts may have seemed
/// unresponsive.
constexpr duration CatchUpPeriod = seconds(4);
/// Time in which a process that was started reads the store.
constexpr duration StartPeriod = seconds(2);
/// Shortest stall of this process that can make its hosts seem unresponsive; callers repeat after
/// 200 ms.
constexpr duration StallThreshold = milliseconds(100);
/// Time after which an evacuated data centre must get no new flows: evacuation_time of the
/// forwarders.
constexpr duration EvacuationTimeout = seconds(5);
/// The data centres of hosts and forwarders. The second one is evacuated at times.
constexpr const char *DataCentres[] = {"soak", "far"};
/// Longest delay of the last drill after the other faults; it takes at most 3.3 s.
constexpr duration MaxDrillDelay = milliseconds(500);
/// Time for which a host runs that drains after the copy of a drill: the longest drill.
constexpr duration DrainedHostLifetime = seconds(8);
/// Time from the return of the store in which forwarders keep draining hosts that they knew.
constexpr duration TargetRecoveryTime = seconds(2);
constexpr const char *Services[] = {"web", "mail"};
/// Index of the route that changes to the other service with each configuration; callers don't use
/// it.
constexpr std::size_t AlternatingRoute = 2;
constexpr std::size_t MaxAddedRoutes = 50;
constexpr std::size_t CallersPerAddedRoute = 4;
/// Time for which stale lists lack an added route.
constexpr duration StaleListPeriod = seconds(2);
/// Time for which a forwarder is down when a route is added.
constexpr duration AddedRouteDownTime = milliseconds(500);
constexpr duration ProbeInterval = milliseconds(500);
/// Time after which a configuration must be in force: configuration_time of the forwarders.
constexpr duration ConfigurationTimeout = seconds(3);
/// Time from then until open flows on a removed route have ended: until the next packet of each, a
/// read of the store's revision that is requested then, and another packet.
constexpr duration ProofTimeout = milliseconds(1500);
/// Combined with the seed, so that the other faults of a run don't depend on evacuations.
constexpr std::uint64_t EvacuationSeedSalt = 0x6576'6163'7561'7465ULL;

} // namespace

scenario::scenario(const scenario_settings &AllSettings)
    : Settings(AllSettings), Random(AllSettings.Seed),
      HostEnvironment{Loop,
                      Violations,
                      PacketPort,
                      {},
                      {},
                      [this](const host &Host, const flow_address &Flow) {
                                                  checkAcceptedFlow(Host, Flow); }},
      CallerEnvironment{Loop,
                        Random,
                        Violations,
                        Counters,
                        PacketPort,
                        [this](const flow_address &Flow) { return selectForwarder(Flow); },
                        [this](const flow_address &Flow) { checkReset(Flow); }},
      AddedCallerRandom(~AllSettings.Seed),
      AddedCallerEnvironment{Loop,
                             AddedCallerRandom,
                             Violations,
                             Counters,
                             PacketPort,
                             CallerEnvironment.Route,
                             CallerEnvironment.OnForwarderReset},
      Store(Loop.base(), toEndpoint(address(9, 0, 8500))),
      HistoryLoss(Store, AllSettings.Seed,
                  [this](random_source &RandomSource) { cutStoreConnections(RandomSource); }),
      Drill(Store, AllSettings.Seed, 2 * AllSettings.HostsPerService + 1,
            {[this](random_source &RandomSource) { writeAfterCopy(RandomSource); },
             [this] { noteLostWrites(); },
             [this] {
               for (const forwarder_node &Node : Nodes)
                 Node.Proxy->endConnections();
             },
             [this](std::size_t Index) { writeAgain(Index); }}),
      ProbeSocket(Loop, address(2, Settings.Callers, PacketPort),
                  [](std::span<const std::byte>) {}),
      SilenceRandom(AllSettings.Seed + 1'000'000),
      EvacuationRandom(AllSettings.Seed ^ EvacuationSeedSalt) {
  std::filesystem::create_directories(Settings.Folder);
  for (std::size_t Service = 0; Service < 2; ++Service)
    HostEnvironment.Routes[address(8, Service, 443)] = {Services[Service]};
  HostEnvironment.Routes[address(8, AlternatingRoute, 443)] = {Services[0], Services[1]};
  writeRoutes();
  for (std::size_t I = 0; I < 2 * Settings.HostsPerService; ++I) {
    // Three of five hosts of each service are in the first data centre.
    Slots.push_back({nullptr, Services[I % 2], DataCentres[I / 2 % 2], address(3, I, HostPort),
                     false, Never, Never});
    startHost(Slots.back());
  }
  for (std::size_t I = 0; I < Settings.Forwarders; ++I) {
    const std::string Name = "forwarder-" + std::to_string(I);
    const endpoint Proxy = toEndpoint(address(5, I, 8500));
    const ipv4_endpoint PacketEndpoint = address(1, I, PacketPort);
    const std::string Text =
        "name = \"" + Name + "\"\ndata_centre = \"" + DataCentres[I % 2] + "\"\nstore = \"" +
        toString(Proxy) + "\"\nshutdown_time = \"4s\"\nevacuation_time = \"5s\"\nseeds = [" +
        seeds() + "]\n[listen]\npackets = \"" + toString(PacketEndpoint) + "\"\npeers = \"" +
        toString(address(1, I, PeerPort)) + "\"\nreadiness = \"" + toString(address(1, I, 7002)) +
        "\"\noperator = \"" + toString(address(1, I, 7003)) + "\"\n";
    Nodes.push_back(
        {std::make_unique<store_proxy>(Loop, Proxy, Store.address()),
         std::make_unique<forwarder_process>(Settings.Program, Settings.Folder, Name, Text),
         PacketEndpoint,
         Never,
         Clock.now(),
         {},
         false});
    Nodes.back().Process->start();
  }
  for (std::size_t I = 0; I < Settings.Callers; ++I)
    RunningCallers.push_back(std::make_unique<caller>(CallerEnvironment, address(2, I, 0).Address,
                                                      address(8, I % 2, 443)));
}

ipv4_endpoint scenario::address(std::uint32_t Group, std::size_t Index, std::uint16_t Port) const {
  return {127U << 24U | Settings.Network << 16U | Group << 8U |
              static_cast<std::uint32_t>(Index + 1),
          Port};
}

std::string scenario::seeds() const {
  std::string Result;
  for (std::size_t I = 0; I < SeedCount; ++I)
    Result += (I == 0 ? "\"" : ", \"") + toString(address(1, I, PeerPort)) + "\"";
  return Result;
}

void scenario::startHost(host_slot &Slot) {
  const std::uint64_t Number = NextHostNumber++ << 32U | (Random.next() & 0xffffffffU);
  char Name[32];
  std::snprintf(Name, sizeof(Name), "i-%llx", static_cast<unsigned long long>(Number));
  Slot.Host.reset();
  Slot.Host = std::make_unique<host>(HostEnvironment, Name, Number, Slot.Service, Slot.Address);
  Slot.Draining = false;
  Slot.DrainStartedAt = Never;
  Slot.EndsAt = Never;
  registerHost(Slot);
}

void scenario::registerHost(const host_slot &Slot) {
  const nlohmann::json Entry{{"service", Slot.Service},
                             {"address", toString(Slot.Address)},
                             {"zone", Slot.DataCentre},
                             {"max_concurrency", 2},
                             {"state", Slot.Draining ? "draining" : "ready"}};
  Store.writeObject("servers", Slot.Host->name(), Entry.dump());
}

void scenario::writeRoutes() {
  nlohmann::json Routes = nlohmann::json::array();
  ++ConfigurationVersion;
  for (const auto &[Address, Allowed] : HostEnvironment.Routes) {
    if (Address == RemovedRoute)
      continue;
    const std::string Service = Allowed.size() == 1 ? *Allowed.begin() : alternatingService();
    Routes.push_back({{"name", toString(Address)},
                      {"hostname", toString(toEndpoint(Address).Address)},
                      {"path_prefix", "/" + std::to_string(Address.Port) + "/"},
                      {"service", Service}});
  }
  RoutesWrittenAt = Clock.now();
  Configuration = nlohmann::json{{"version", ConfigurationVersion}, {"routes", Routes}}.dump();
  Store.writeObject("config", "main", Configuration);
}

void scenario::removeEntry(const std::string &Name) {
  RemovedEntries.insert(Name);
  Store.removeObject("servers", Name);
}

void scenario::writeAgain(std::size_t Index) {
  if (Index < Slots.size()) {
    if (Slots[Index].Host != nullptr)
      registerHost(Slots[Index]);
    return;
  }
  for (const std::string &Name : RemovedEntries)
    Store.removeObject("servers", Name);
  Store.writeObject("config", "main", Configuration);
  if (EvacuatedAt != Never)
    Store.writeObject("evacuations", DataCentres[1], "{}");
  else
    Store.removeObject("evacuations", DataCentres[1]);
}

void scenario::writeAfterCopy(random_source &RandomSource) {
  const instant Now = Clock.now();
  CopyKeptAt = Now;
  DrainedAfterCopy.clear();
  host_slot &Slot = Slots[RandomSource.below(Slots.size())];
  if (Slot.Host != nullptr && Slot.EndsAt == Never) {
    Slot.Draining = true;
    Slot.DrainStartedAt = Now;
    Slot.EndsAt = Now + DrainedHostLifetime;
    registerHost(Slot);
    DrainedAfterCopy = Slot.Host->name();
  }
  writeRoutes();
  VersionAfterCopy = ConfigurationVersion;
}

void scenario::noteLostWrites() {
  for (forwarder_node &Node : Nodes)
    Node.KnowsLostWrites = Node.LastFaultAt < CopyKeptAt && LastStoreFaultAt < CopyKeptAt;
}

const scenario::forwarder_node *scenario::nodeOf(const flow_address &Flow) {
  // Each node has a probe flow with a source address of its own.
  const std::uint32_t FirstProbe = address(2, Settings.Callers, 0).Address;
  if (Flow.Caller.Address >= FirstProbe && Flow.Caller.Address < FirstProbe + Nodes.size())
    return &Nodes[Flow.Caller.Address - FirstProbe];
  const std::optional<ipv4_endpoint> Selected = selectForwarder(Flow);
  const auto Found = std::find_if(Nodes.begin(), Nodes.end(), [&](const forwarder_node &Node) {
    return Node.PacketEndpoint == Selected;
  });
  return Found == Nodes.end() ? nullptr : &*Found;
}

void scenario::checkAfterReturn(const host &Host, const flow_address &Flow) {
  const instant Now = Clock.now();
  const instant ReturnedAt = Drill.returnedAt();
  if (!Settings.CheckTiming || Now < ChecksSuspendedUntil || ReturnedAt == Never ||
      ReturnedAt < CopyKeptAt)
    return;
  const forwarder_node *Node = nodeOf(Flow);
  // After a restart, flows move between nodes, and one from before may be attributed to this one.
  if (Node == nullptr || !Node->KnowsLostWrites ||
      std::any_of(Nodes.begin(), Nodes.end(), [&](const forwarder_node &Other) {
        return Now < Other.StartedAt + milliseconds(500);
      }))
    return;
  ++ChecksAfterReturn;
  if (Host.name() == DrainedAfterCopy && Now < ReturnedAt + TargetRecoveryTime)
    Violations.add("draining hosts get no new flows after a return of the store", Host.name());
  if (Flow.Service == address(8, AlternatingRoute, 443) &&
      ConfigurationVersion == VersionAfterCopy && Host.service() != alternatingService())
    Violations.add("versions of the configuration never go back", Host.name());
}

bool scenario::delayedByDrill(instant Time, duration Timeout) {
  const instant Now = Clock.now();
  return Drill.count() > 0 && Time + Timeout > Drill.beganAt() &&
         Now < LastDrillAt + CatchUpPeriod + Timeout;
}

ipv4_endpoint scenario::addedRoute(std::size_t Index) const {
  return address(8, AlternatingRoute + 1 + Index, 443);
}

void scenario::addRoute() {
  if (AddedRoutes >= MaxAddedRoutes) {
    writeRoutes();
    return;
  }
  const instant Now = Clock.now();
  if (!HistoryLoss.inProgress() && !Drill.inProgress() && !Drill.excludesStoreFaults()) {
    Store.keepStaleCopy();
    Store.setStaleReads(true);
    StaleListsEndAt = Now + StaleListPeriod;
  }
  const ipv4_endpoint Address = addedRoute(AddedRoutes);
  HostEnvironment.Routes[Address] = {Services[AddedRoutes % 2]};
  writeRoutes();
  for (std::size_t I = 0; I < CallersPerAddedRoute; ++I)
    RunningCallers.push_back(std::make_unique<caller>(
        AddedCallerEnvironment, address(6, AddedRoutes * CallersPerAddedRoute + I, 0).Address,
        Address));
  ++AddedRoutes;
  forwarder_node &Node = Nodes[AddedCallerRandom.below(Nodes.size())];
  if (Node.RestoreAt == Never) {
    Node.Process->signal(SIGKILL);
    Node.RestoreAt = Now + AddedRouteDownTime;
  }
}

bool scenario::startedInDrill() {
  return Drill.count() > 0 && Clock.now() < LastDrillAt + CatchUpPeriod &&
         std::any_of(Nodes.begin(), Nodes.end(), [this](const forwarder_node &Node) {
           return Node.StartedAt + StartPeriod >= Drill.beganAt();
         });
}

std::optional<ipv4_endpoint> scenario::selectForwarder(const flow_address &Flow) {
  // Rendezvous hashing: if a node leaves, only its own flows move.
  const forwarder_node *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const forwarder_node &Node : Nodes) {
    if (Node.Process->paused() || !Node.Process->running())
      continue;
    const std::uint64_t Hash = mixHash(flow_address_hash()(Flow), Node.PacketEndpoint.Address);
    if (Best == nullptr || Hash > BestHash) {
      Best = &Node;
      BestHash = Hash;
    }
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->PacketEndpoint);
}

void scenario::checkReset(const flow_address &Flow) {
  if (Flow.Service == RemovedRoute)
    return;
  // The host runs and holds the flow, so a reset is right only if the host didn't answer, which
  // happens only if this process stalls.
  const bool HostHasFlow = std::any_of(Slots.begin(), Slots.end(), [&](const host_slot &Slot) {
    return Slot.Host != nullptr && !Slot.Host->silent() && Slot.Host->hasFlow(Flow);
  });
  if (HostHasFlow && Settings.CheckTiming && Clock.now() >= ChecksSuspendedUntil &&
      !startedInDrill())
    Violations.add("forwarders don't reset flows whose host answers", toString(Flow.Caller));
}

void scenario::injectNodeFault(forwarder_node &Node) {
  const instant Now = Clock.now();
  // A node that already has a fault may get another one, which then determines when both end.
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
    Node.Proxy->setFault(proxy_fault::DiscardAll);
    break;
  case 5:
    Node.Proxy->setFault(proxy_fault::DiscardAnswers);
    break;
  default:
    Node.Proxy->setFault(proxy_fault::Reset);
  }
}

void scenario::injectHostFault(host_slot &Slot) {
  const instant Now = Clock.now();
  if (Slot.Host == nullptr || Slot.EndsAt != Never)
    return;
  if (Random.below(2) == 0) {
    // A planned end: the entry changes to draining and the host keeps running for a while.
    Slot.Draining = true;
    Slot.DrainStartedAt = Now;
    registerHost(Slot);
    Slot.EndsAt = Now + milliseconds(3000 + Random.below(3000));
  } else {
    // A crash: the host stops answering, its entry is removed, and a new host starts later.
    Slot.EndsAt = Now + milliseconds(1000 + Random.below(3000));
    const std::string Name = Slot.Host->name();
    Slot.Host.reset();
    removeEntry(Name);
    // The address may be reused by another service.
    Slot.Service = Services[Random.below(2)];
  }
}

void scenario::silenceHost() {
  NextSilenceAt = Clock.now() + milliseconds(1500 + SilenceRandom.below(3000));
  host_slot &Slot = Slots[SilenceRandom.below(Slots.size())];
  if (Slot.Host == nullptr || Slot.EndsAt != Never)
    return;
  Slot.Host->fallSilent();
  Slot.EndsAt = Clock.now() + milliseconds(2000 + SilenceRandom.below(2500));
}

void scenario::injectStoreFault() {
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
  StoreRestoreAt = Clock.now() + milliseconds(500 + Random.below(4000));
}

std::string scenario::alternatingService() const { return Services[ConfigurationVersion % 2]; }

bool scenario::undisturbed() {
  const instant Now = Clock.now();
  return Now >= LastFaultAt + CatchUpPeriod && Now >= ChecksSuspendedUntil;
}

void scenario::checkAcceptedFlow(const host &Host, const flow_address &Flow) {
  checkAfterReturn(Host, Flow);
  if (!Settings.CheckTiming || !undisturbed())
    return;
  checkDrain(Host);
  checkEvacuation(Host);
  if (Flow.Service == address(8, AlternatingRoute, 443))
    checkRoute(Host);
}

void scenario::checkDrain(const host &Host) {
  const auto Slot = std::find_if(Slots.begin(), Slots.end(), [&](const host_slot &Candidate) {
    return Candidate.Host.get() == &Host;
  });
  if (Slot != Slots.end() && Slot->DrainStartedAt != Never &&
      !delayedByDrill(Slot->DrainStartedAt, DrainTimeout) &&
      Clock.now() >= Slot->DrainStartedAt + DrainTimeout)
    Violations.add("draining hosts get no new flows", Host.name());
}

void scenario::checkEvacuation(const host &Host) {
  const auto Slot = std::find_if(Slots.begin(), Slots.end(), [&](const host_slot &Candidate) {
    return Candidate.Host.get() == &Host;
  });
  if (Slot != Slots.end() && Slot->DataCentre == DataCentres[1] && EvacuatedAt != Never &&
      Clock.now() >= EvacuatedAt + EvacuationTimeout)
    Violations.add("an evacuated data centre gets no new flows", Host.name());
}

void scenario::setEvacuated(bool IsEvacuated) {
  if (IsEvacuated) {
    EvacuatedAt = Clock.now();
    Store.writeObject("evacuations", DataCentres[1], "{}");
  } else {
    EvacuatedAt = Never;
    Store.removeObject("evacuations", DataCentres[1]);
  }
}

void scenario::stepEvacuation(bool FaultsEnded) {
  const instant Now = Clock.now();
  // The last evacuation begins with the fault-free period and ends with the run.
  if (FaultsEnded) {
    if (EvacuatedAt == Never)
      setEvacuated(true);
  } else if (Now >= NextEvacuationChangeAt) {
    setEvacuated(EvacuatedAt == Never);
    NextEvacuationChangeAt = Now + milliseconds(3000 + EvacuationRandom.below(6000));
  }
}

void scenario::checkRoute(const host &Host) {
  if (!delayedByDrill(RoutesWrittenAt, ConfigurationTimeout) &&
      Clock.now() >= RoutesWrittenAt + ConfigurationTimeout &&
      Host.service() != alternatingService())
    Violations.add("a configuration takes effect at all forwarders in time", Host.name());
}

void scenario::openProbeFlows() {
  ProbePort = ProbePort == 60000 ? 1024 : ProbePort + 1;
  flow_packet Opening;
  Opening.Flags = platform::Synchronize;
  Opening.Sequence = ProbePort;
  Opening.Source = {address(2, Settings.Callers, 0).Address, ProbePort};
  Opening.Destination = address(8, AlternatingRoute, 443);
  for (const forwarder_node &Node : Nodes) {
    ProbeSocket.send(Node.PacketEndpoint, encode(Opening));
    // A separate flow for each node.
    ++Opening.Source.Address;
  }
}

void scenario::startFinalDrain() {
  for (const char *Service : Services) {
    const auto Slot = std::find_if(Slots.begin(), Slots.end(), [&](const host_slot &Candidate) {
      return Candidate.Service == Service && Candidate.Host != nullptr && Candidate.EndsAt == Never;
    });
    if (Slot == Slots.end())
      continue;
    Slot->Draining = true;
    Slot->DrainStartedAt = Clock.now();
    registerHost(*Slot);
  }
  if (AddedRoutes > 0) {
    RemovedRoute = addedRoute(AddedRoutes - 1);
    RemovedRouteCheckAt = Clock.now() + ConfigurationTimeout + ProofTimeout;
  }
  writeRoutes();
  FinalDrainStarted = true;
}

void scenario::checkRemovedRoute() {
  for (const std::unique_ptr<caller> &Caller : RunningCallers)
    if (Caller->service() == RemovedRoute && Caller->hasOpenFlow())
      Violations.add("flows on a removed route end", toString(RemovedRoute));
}

void scenario::cutStoreConnections(random_source &RandomSource) {
  for (const forwarder_node &Node : Nodes)
    Node.Proxy->endConnections();
  // The restarted processes list objects and start watches before the history is discarded.
  for (int I = 0; I < NodesKilledAtCut; ++I) {
    const forwarder_node &Node = Nodes[RandomSource.below(Nodes.size())];
    if (Node.RestoreAt == Never)
      Node.Process->signal(SIGKILL);
  }
}

bool scenario::faultActive() {
  return StoreRestoreAt != Never || HistoryLoss.inProgress() ||
         std::any_of(Nodes.begin(), Nodes.end(), [](const forwarder_node &Node) {
           return Node.RestoreAt != Never || !Node.Process->running();
         });
}

void scenario::injectFault() {
  switch (Random.below(8)) {
  case 0:
    if (!Drill.excludesStoreFaults())
      injectStoreFault();
    break;
  case 1:
    addRoute();
    break;
  case 2:
  case 3:
    injectHostFault(Slots[Random.below(Slots.size())]);
    break;
  default:
    injectNodeFault(Nodes[Random.below(Nodes.size())]);
  }
  NextFaultAt = Clock.now() + milliseconds(Random.below(1200));
}

void scenario::endDueFaults() {
  const instant Now = Clock.now();
  if (Now >= StoreRestoreAt) {
    Store.setFaults({});
    StoreRestoreAt = Never;
  }
  if (Now >= StaleListsEndAt) {
    // A loss of the history ends its own stale reads.
    if (!HistoryLoss.inProgress())
      Store.setStaleReads(false);
    StaleListsEndAt = Never;
  }
  for (forwarder_node &Node : Nodes) {
    if (Now < Node.RestoreAt)
      continue;
    Node.RestoreAt = Never;
    Node.Proxy->setFault(proxy_fault::None);
    if (Node.Process->paused())
      Node.Process->setPaused(false);
  }
  for (forwarder_node &Node : Nodes)
    if (!Node.Process->running() && Node.RestoreAt == Never) {
      Node.Process->start();
      Node.StartedAt = Now;
    }
  for (host_slot &Slot : Slots) {
    if (Now < Slot.EndsAt)
      continue;
    if (Slot.Host != nullptr)
      removeEntry(Slot.Host->name());
    startHost(Slot);
  }
}

void scenario::tick() {
  const instant Now = Clock.now();
  if (Now - LastTick > StallThreshold)
    ChecksSuspendedUntil = Now + CatchUpPeriod;
  LastTick = Now;
  endDueFaults();
  const bool MayFail = Now < Start + Settings.Length - FaultFreePeriod;
  HistoryLoss.step(Now, MayFail && !Drill.inProgress() && !Drill.excludesStoreFaults());
  // A drill that begins shortly after the other faults is over before the final drain.
  const bool MayDrill = Now < Start + Settings.Length - FaultFreePeriod + MaxDrillDelay;
  Drill.step(Now, MayFail, MayDrill && !HistoryLoss.inProgress() && StaleListsEndAt == Never);
  if (Drill.inProgress())
    LastDrillAt = Now;
  if (faultActive())
    LastFaultAt = Now;
  if (StoreRestoreAt != Never || HistoryLoss.inProgress() || StaleListsEndAt != Never)
    LastStoreFaultAt = Now;
  for (forwarder_node &Node : Nodes) {
    if (Node.RestoreAt != Never || !Node.Process->running())
      Node.LastFaultAt = Now;
    if (!Node.Process->running())
      Node.KnowsLostWrites = false;
  }
  const instant FaultFreeAt = Start + Settings.Length - FaultFreePeriod;
  stepEvacuation(Now >= FaultFreeAt);
  if (Now < FaultFreeAt) {
    if (Now >= NextSilenceAt)
      silenceHost();
    if (Now >= NextFaultAt)
      injectFault();
  } else if (SentWhenSettled == 0 && Now >= FaultFreeAt + SettlePeriod) {
    SentWhenSettled = Counters.Sent;
    ServedWhenSettled = Counters.Served;
  }
  if (Now >= NextProbeAt) {
    openProbeFlows();
    NextProbeAt = Now + ProbeInterval;
  }
  if (!FinalDrainStarted && Now >= FaultFreeAt + FinalDrainOffset)
    startFinalDrain();
  if (Now >= RemovedRouteCheckAt) {
    RemovedRouteCheckAt = Never;
    if (Settings.CheckTiming && undisturbed())
      checkRemovedRoute();
  }
  if (Now >= Start + Settings.Length)
    Loop.stop();
}

bool scenario::run() {
  Start = LastTick = Clock.now();
  // Leaves the processes time to start before the first fault.
  NextFaultAt = Start + seconds(2);
  NextEvacuationChangeAt = Start + milliseconds(1000 + EvacuationRandom.below(3000));
  NextSilenceAt = Start + seconds(3);
  HistoryLoss.start(Start);
  Drill.start(Start);
  Loop.onInterval(TickInterval, [this] { tick(); });
  // An interrupted run must end its processes, too.
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { Loop.stop(); });
  Loop.run();

  int Crashes = 0;
  for (forwarder_node &Node : Nodes)
    Crashes += Node.Process->crashes();
  if (Crashes > 0)
    Violations.add("forwarder processes don't exit unexpectedly", std::to_string(Crashes));
  // Requests still in progress at the end count as not served.
  const std::uint64_t Sent = Counters.Sent - SentWhenSettled;
  const std::uint64_t Served = Counters.Served - ServedWhenSettled;
  if (Settings.CheckTiming && (Sent == 0 || Served * 10 < Sent * 9))
    Violations.add("requests are served after the faults",
                   std::to_string(Served) + " of " + std::to_string(Sent));
  std::printf("seed %llu: %llu requests, %llu served, %llu failed; %llu resets by forwarders; "
              "%zu returns of the store from a copy, %zu flows checked after them; %zu guarantees "
              "violated\n",
              static_cast<unsigned long long>(Settings.Seed),
              static_cast<unsigned long long>(Counters.Sent),
              static_cast<unsigned long long>(Counters.Served),
              static_cast<unsigned long long>(Counters.Failed),
              static_cast<unsigned long long>(Counters.ForwarderResets), Drill.count(),
              ChecksAfterReturn, Violations.counts().size());
  return Violations.counts().empty();
}

} // namespace briarpoint::soak
