#ifndef BRIARPOINT_SOAK_SCENARIO_H
#define BRIARPOINT_SOAK_SCENARIO_H

#include "base/seeded_random.h"
#include "io/time_source.h"
#include "soak/caller.h"
#include "soak/datagram_socket.h"
#include "soak/forwarder_process.h"
#include "soak/history_loss.h"
#include "soak/host.h"
#include "soak/store_proxy.h"
#include "standins/platform_server.h"

#include <memory>
#include <string>
#include <vector>

namespace briarpoint::soak {

/// Sizes and times of a run.
struct scenario_settings {
  std::uint64_t Seed = 1;
  duration Length = std::chrono::seconds(20);
  std::string Program;
  /// For settings and logs; kept after the run.
  std::string Folder;
  std::size_t Forwarders = 6;
  std::size_t HostsPerService = 5;
  std::size_t Callers = 60;
  /// Judge what depends on how fast this machine is: resets of flows whose host answers, and
  /// service after the faults. Otherwise these are printed only.
  bool JudgeTimes = true;
  /// First of the three bytes of loopback addresses that the run uses, 127.N.x.y.
  std::uint32_t Network = 77;
};

/// One run: forwarders as processes, everything else in this process, and a schedule of faults that
/// follows from the seed. Faults come one after the other and overlap.
class scenario {
public:
  explicit scenario(const scenario_settings &Settings);

  /// Runs to the end and prints what was seen. Returns whether all promises were kept.
  bool run();

private:
  struct slot {
    std::unique_ptr<host> Host;
    std::string Service;
    ipv4_endpoint Address;
    bool Draining = false;
    /// When the store knew that the host is draining.
    instant DrainedAt = Never;
    /// Never while the host takes flows.
    instant EndsAt = Never;
  };
  struct node {
    std::unique_ptr<store_proxy> Proxy;
    std::unique_ptr<forwarder_process> Process;
    ipv4_endpoint Packets;
    instant RestoreAt = Never;
  };

  ipv4_endpoint address(std::uint32_t Group, std::size_t Index, std::uint16_t Port) const;
  void startHost(slot &Slot);
  void registerHost(const slot &Slot);
  void writeRoutes();
  void tick();
  void injectFault();
  void faultAtNode(node &Node);
  void faultAtHost(slot &Slot);
  void faultAtStore();
  void restore();
  std::optional<ipv4_endpoint> choose(const flow_address &Flow);
  void judgeReset(const flow_address &Flow);
  void judgeAccepted(const host &Host, const ipv4_endpoint &Service);
  void judgeDrain(const host &Host);
  void judgeRoute(const host &Host);
  /// Nothing was in trouble for as long as everybody needs to know what happened meanwhile.
  bool calm();
  /// Service to which the moving route leads.
  std::string movingService() const;
  /// Opens a flow of the moving route through each node.
  void probeRoutes();
  /// Ends all connections to the store and kills processes of nodes that have no other trouble;
  /// they start again at once.
  void cutWatches(random_source &Choice);
  /// Has one host of each service drain, without a successor.
  void drainForGood();
  bool troubled();

  scenario_settings Settings;
  seeded_random Random;
  steady_time_source Clock;
  event_loop Loop;
  violations Violations;
  caller_counters Counters;
  host_environment Hosts;
  caller_environment Callers;
  standins::platform_server Store;
  history_loss HistoryLoss;
  std::vector<slot> Slots;
  std::vector<node> Nodes;
  std::vector<std::unique_ptr<caller>> Crowd;
  /// Sends the packets that open flows of the moving route; what it receives is ignored.
  datagram_socket Prober;
  std::uint16_t ProbePort = 1024;
  instant NextProbe{};
  std::uint64_t NextNumber = 1;
  std::uint64_t Version = 0;
  instant RoutesWrittenAt{};
  instant Start{};
  instant LastTick{};
  /// This process stood still, so its hosts answered late.
  instant StalledUntil{};
  instant NextFault{};
  instant StoreBackAt = Never;
  /// When a node or the store was last in trouble.
  instant TroubledAt{};
  bool DrainedForGood = false;
  std::uint64_t ServedAtCalm = 0;
  std::uint64_t SentAtCalm = 0;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_SCENARIO_H
