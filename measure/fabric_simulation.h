#ifndef BRIARPOINT_MEASURE_FABRIC_SIMULATION_H
#define BRIARPOINT_MEASURE_FABRIC_SIMULATION_H

#include "base/seeded_random.h"
#include "core/data/data_plane_settings.h"
#include "measure/control_traffic.h"
#include "measure/deployment.h"
#include "measure/event_queue.h"
#include "measure/simulated_platform.h"
#include "measure/simulation_listener.h"
#include "measure/simulation_settings.h"
#include "peer/message_authenticator.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace briarpoint::measure {

class balancer;

/// Simulation of a fabric: balancers with the real core on a simulated clock, network and platform.
/// A run is determined by the settings, the seed and the scheduled calls.
class fabric_simulation {
public:
  /// Starts BalancersPerDataCentre balancers in each data centre. \p Listener must outlive the
  /// object.
  fabric_simulation(const simulation_settings &Settings, simulation_listener &Listener);
  ~fabric_simulation();
  fabric_simulation(const fabric_simulation &) = delete;
  fabric_simulation &operator=(const fabric_simulation &) = delete;

  const instant &now() const { return Now; }
  const simulation_settings &settings() const { return Settings; }
  random_source &random() { return Random; }
  void scheduleCall(instant At, std::function<void()> Closure) {
    Queue.scheduleCall(At, std::move(Closure));
  }
  void setFlowTimer(instant At, std::uint32_t Flow) { Queue.add(At, event_kind::FlowTimer, Flow); }
  void runUntil(instant End);
  /// Runs until \p Done returns true, at the latest until \p Limit; returns whether \p Done
  /// returned true. \p Done is checked every 100 ms.
  bool runUntil(instant Limit, const std::function<bool()> &Done);

  /// Starts a balancer and returns its index, which stays valid after the balancer has ended.
  std::size_t addBalancer(std::size_t DataCentre);
  void crash(std::size_t Balancer);
  void leave(std::size_t Balancer);
  /// Starts a new process with the name of one that has ended.
  void restart(std::size_t Balancer);
  /// Suspends the ticks of a balancer for \p Span. Packets and control messages that arrive
  /// meanwhile are lost.
  void pause(std::size_t Balancer, duration Span);
  /// Returns null if the balancer isn't running.
  balancer *find(std::size_t Balancer) const { return Balancers[Balancer].get(); }
  std::size_t dataCentreOf(std::size_t Balancer) const { return DataCentreOf[Balancer]; }
  std::size_t balancerCount() const { return Balancers.size(); }
  std::vector<std::size_t> running() const;

  /// Cuts a data centre off from the others and the platform, or connects it again.
  void cutOff(std::size_t DataCentre, bool Cut);
  bool reachable(std::size_t From, std::size_t To) const { return !Cut[From][To]; }
  void setPeerLoss(double Loss) { PeerLoss = Loss; }

  /// Sends an IP packet to a random balancer of the fabric: of \p HomeDataCentre, or of all data
  /// centres, according to the ownership scope. \p Target is the index of the sending target, or
  /// NoTargetIndex for a caller. Returns the data centre of the balancer.
  std::size_t sendThroughFabric(std::span<const std::byte> Inner, std::size_t HomeDataCentre,
                                std::uint32_t Target);

  simulated_platform &objects() { return Platform; }
  control_traffic traffic() const;
  /// Clears the control traffic counters.
  void resetTraffic();

  /// Returns a hash of the times and subjects of all events so far.
  std::uint64_t eventHash() const { return EventHash; }
  /// Returns the number of hand-over options that failed to parse.
  std::uint64_t malformed() const { return Malformed; }

  static constexpr std::uint32_t NoTargetIndex = ~0U;
  /// Bytes of a control datagram besides the message: IPv4 and UDP headers and the authentication.
  static constexpr std::size_t DatagramOverhead = 28 + message_authenticator::Overhead;

private:
  friend class balancer;
  enum class hop : std::uint8_t { FromCaller, FromTarget, FromBalancer, ToTarget, ToCaller };
  struct packet {
    hop Hop = hop::FromCaller;
    std::uint8_t OptionType = 0;
    std::uint8_t OptionSize = 0;
    std::uint16_t Size = 0;
    /// Index of the receiving balancer or target.
    std::uint32_t Destination = 0;
    /// Index of the sending target (hop::FromTarget) or virtual network identifier (hop::ToTarget).
    std::uint32_t TargetOrVni = 0;
    std::array<std::byte, 128> Option;
    std::array<std::byte, 128> Inner;
  };
  struct traffic_meter {
    control_traffic Total;
    double BytesInCurrentSecond = 0.0;
    std::int64_t CurrentSecond = 0;
  };

  packet &allocate(hop Hop, std::uint32_t Destination, std::span<const std::byte> Inner);
  void send(packet &Packet, std::size_t From, std::size_t To);
  void deliver(std::uint32_t Index);
  duration delay(std::size_t From, std::size_t To);
  void deliverControl(std::size_t From, const endpoint &To, std::string Bytes);
  void countBytes(std::size_t Balancer, traffic_kind Kind, std::size_t Bytes);
  void start(std::size_t Balancer);
  void tick(std::size_t Balancer, std::uint64_t Incarnation);
  void updateNextHops();
  data_plane_settings dataSettings() const;

  simulation_settings Settings;
  simulation_listener &Listener;
  instant Now{};
  event_queue Queue;
  seeded_random Random;
  simulated_platform Platform;
  std::vector<std::unique_ptr<balancer>> Balancers;
  std::vector<std::size_t> DataCentreOf;
  std::vector<traffic_meter> Meters;
  std::unordered_map<member_id, std::size_t> IndexByMember;
  std::map<endpoint, std::size_t> IndexByControlEndpoint;
  /// Balancers that the fabric routes to, updated RoutingDelay after a balancer starts, leaves or
  /// ends.
  std::array<std::vector<std::uint32_t>, DataCentreCount> NextHops;
  std::vector<std::uint32_t> AllNextHops;
  std::array<std::array<bool, DataCentreCount + 1>, DataCentreCount + 1> Cut{};
  double PeerLoss = 0.0;
  std::uint64_t Incarnations = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t EventHash = 0;
  std::vector<packet> Packets;
  std::vector<std::uint32_t> FreePackets;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FABRIC_SIMULATION_H
