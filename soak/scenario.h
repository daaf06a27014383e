#ifndef BRIARPOINT_SOAK_SCENARIO_H
#define BRIARPOINT_SOAK_SCENARIO_H

#include "base/seeded_random.h"
#include "io/time_source.h"
#include "soak/caller.h"
#include "soak/datagram_socket.h"
#include "soak/forwarder_process.h"
#include "soak/history_loss.h"
#include "soak/host.h"
#include "soak/store_drill.h"
#include "soak/store_proxy.h"
#include "standins/platform_server.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarpoint::soak {

/// Settings of a run.
struct scenario_settings {
  std::uint64_t Seed = 1;
  duration Length = std::chrono::seconds(20);
  std::string Program;
  /// Folder for settings and logs of the forwarders; kept after the run.
  std::string Folder;
  std::size_t Forwarders = 6;
  std::size_t HostsPerService = 5;
  std::size_t Callers = 60;
  /// Check guarantees that depend on the speed of this machine: resets of flows whose host answers,
  /// new flows and routes after a change, and service after the faults. If false, resets and
  /// requests are only counted and printed.
  bool CheckTiming = true;
  /// N of the loopback addresses 127.N.x.y that the run uses.
  std::uint32_t Network = 77;
};

/// A run with forwarders as processes, everything else simulated in this process, and random faults
/// that the seed determines. Faults start one after the other and may overlap.
class scenario {
public:
  explicit scenario(const scenario_settings &Settings);

  /// Runs to the end and prints a summary. Returns whether no guarantee was violated.
  bool run();

private:
  struct host_slot {
    std::unique_ptr<host> Host;
    std::string Service;
    std::string DataCentre;
    ipv4_endpoint Address;
    bool Draining = false;
    /// When the draining state was written to the store; Never while the host isn't draining.
    instant DrainStartedAt = Never;
    /// When the host is replaced; Never if no end is planned.
    instant EndsAt = Never;
  };
  struct forwarder_node {
    std::unique_ptr<store_proxy> Proxy;
    std::unique_ptr<forwarder_process> Process;
    ipv4_endpoint PacketEndpoint;
    /// When the node's current fault ends; Never without a fault.
    instant RestoreAt = Never;
    /// When the process was started last.
    instant StartedAt{};
    /// When the node last had a fault.
    instant LastFaultAt{};
    /// Its process knew what was written after the copy of the last drill before the store lost it.
    bool KnowsLostWrites = false;
  };

  /// Returns 127.N.Group.(Index + 1) with \p Port.
  ipv4_endpoint address(std::uint32_t Group, std::size_t Index, std::uint16_t Port) const;
  /// Returns the seeds of the forwarders as elements of a TOML array.
  std::string seeds() const;
  void startHost(host_slot &Slot);
  void registerHost(const host_slot &Slot);
  /// Removes a host's entry from the store.
  void removeEntry(const std::string &Name);
  void writeRoutes();
  /// Writes again what the store lost in a drill: the entry of a host, or, for the index after the
  /// last host, the removals of entries and the configuration.
  void writeAgain(std::size_t Index);
  /// Drains a host and writes a configuration after the copy of a drill was kept.
  void writeAfterCopy(random_source &RandomSource);
  /// Notes which nodes know what was written after the copy.
  void noteLostWrites();
  /// Whether the last drill may still delay changes that were written at \p Time: they weren't in
  /// force before it, and it ended less than CatchUpPeriod ago.
  bool delayedByDrill(instant Time, duration Timeout);
  /// Whether a forwarder may know only the copy of the last drill, because it started during it.
  bool startedInDrill();
  /// Writes a configuration with another route, which new callers use at once, and restarts a
  /// forwarder, whose stale lists lack the route.
  void addRoute();
  void tick();
  void injectFault();
  void injectNodeFault(forwarder_node &Node);
  void injectHostFault(host_slot &Slot);
  void injectStoreFault();
  /// Makes a host fall silent, whose entry stays until the host is replaced.
  void silenceHost();
  void endDueFaults();
  std::optional<ipv4_endpoint> selectForwarder(const flow_address &Flow);
  /// Adds a violation if a host holds a flow that a forwarder reset.
  void checkReset(const flow_address &Flow);
  /// Checks drain and route of the host of a new flow, unless a fault was active recently.
  void checkAcceptedFlow(const host &Host, const flow_address &Flow);
  /// Checks that a node which knew what the store lost keeps to it after the return.
  void checkAfterReturn(const host &Host, const flow_address &Flow);
  /// Returns the node to which the opening packet of a flow was sent, or nullptr.
  const forwarder_node *nodeOf(const flow_address &Flow);
  void checkDrain(const host &Host);
  void checkEvacuation(const host &Host);
  void checkRoute(const host &Host);
  /// Evacuates the data centre that can be evacuated, or withdraws that.
  void setEvacuated(bool IsEvacuated);
  /// Changes the evacuation if its time has come.
  void stepEvacuation(bool FaultsEnded);
  /// Whether no fault was active within CatchUpPeriod, so that every forwarder is up to date.
  bool undisturbed();
  /// Service to which the alternating route currently leads.
  std::string alternatingService() const;
  /// Sends a packet that opens a flow of the alternating route to each node.
  void openProbeFlows();
  /// Ends all connections to the store and kills the processes of some nodes without other faults.
  /// The next tick restarts them.
  void cutStoreConnections(random_source &RandomSource);
  /// Drains one host of each service until the end of the run, without a replacement, and removes
  /// the route that was added last.
  void startFinalDrain();
  /// Adds a violation if a caller still has an open flow on the removed route.
  void checkRemovedRoute();
  ipv4_endpoint addedRoute(std::size_t Index) const;
  /// Whether the store or a node has a fault or a node's process isn't running.
  bool faultActive();

  scenario_settings Settings;
  seeded_random Random;
  steady_time_source Clock;
  event_loop Loop;
  violations Violations;
  caller_counters Counters;
  host_environment HostEnvironment;
  caller_environment CallerEnvironment;
  /// For the callers of added routes. They have random numbers of their own, so that a seed gives
  /// the same faults however many routes there are.
  seeded_random AddedCallerRandom;
  caller_environment AddedCallerEnvironment;
  standins::platform_server Store;
  history_loss HistoryLoss;
  store_drill Drill;
  std::vector<host_slot> Slots;
  std::vector<forwarder_node> Nodes;
  std::vector<std::unique_ptr<caller>> RunningCallers;
  std::size_t AddedRoutes = 0;
  /// The route that startFinalDrain() removed; empty if there is none.
  ipv4_endpoint RemovedRoute;
  /// When its flows must have ended; Never if that was checked or no route was removed.
  instant RemovedRouteCheckAt = Never;
  /// When stale lists are up to date again after addRoute(); Never if they are.
  instant StaleListsEndAt = Never;
  /// Sends the packets of openProbeFlows(); received packets are ignored.
  datagram_socket ProbeSocket;
  std::uint16_t ProbePort = 1024;
  instant NextProbeAt{};
  std::uint64_t NextHostNumber = 1;
  std::uint64_t ConfigurationVersion = 0;
  instant RoutesWrittenAt{};
  /// The configuration that was written last, as JSON.
  std::string Configuration;
  /// Names of the entries that were removed. The copy of a drill may have them.
  std::set<std::string> RemovedEntries;
  /// When the copy of the last drill was kept, the host that was drained after it, and the version
  /// of the configuration that was written then.
  instant CopyKeptAt = Never;
  std::string DrainedAfterCopy;
  std::uint64_t VersionAfterCopy = 0;
  instant LastStoreFaultAt{};
  /// New flows through nodes that knew what the store lost, after its return.
  std::size_t ChecksAfterReturn = 0;
  /// When a drill was in progress last.
  instant LastDrillAt{};
  instant Start{};
  instant LastTick{};
  /// End of the period without timing checks after a stall of this process, whose hosts answered
  /// late.
  instant ChecksSuspendedUntil{};
  instant NextFaultAt{};
  /// For silent hosts. They have random numbers of their own, so that a seed gives the same other
  /// faults.
  seeded_random SilenceRandom;
  instant NextSilenceAt{};
  instant StoreRestoreAt = Never;
  /// When a node or the store last had a fault.
  instant LastFaultAt{};
  /// Times of evacuations. They have random numbers of their own, so that a seed gives the same
  /// other faults.
  seeded_random EvacuationRandom;
  /// When the evacuation was written to the store; Never while there is none.
  instant EvacuatedAt = Never;
  instant NextEvacuationChangeAt{};
  bool FinalDrainStarted = false;
  std::uint64_t ServedWhenSettled = 0;
  std::uint64_t SentWhenSettled = 0;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_SCENARIO_H
