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

/// Balancers of the real core on one fake clock and one fake message exchange. Everything that
/// happens follows from the settings, the seed and what the caller schedules.
class fabric_simulation {
public:
  /// \p Listener must outlive the object.
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
  /// Runs until \p Done, at the latest until \p Limit; returns whether it is done.
  bool runUntil(instant Limit, const std::function<bool()> &Done);

  /// Balancers; an index stays valid after the balancer ended.
  std::size_t addBalancer(std::size_t DataCentre);
  void crash(std::size_t Balancer);
  void leave(std::size_t Balancer);
  /// Starts a new process under the name of an ended one.
  void restart(std::size_t Balancer);
  /// Stops a balancer's clock and packets for a time.
  void pause(std::size_t Balancer, duration Span);
  /// Null if it isn't running.
  balancer *find(std::size_t Balancer) const { return Balancers[Balancer].get(); }
  std::size_t dataCentreOf(std::size_t Balancer) const { return DataCentreOf[Balancer]; }
  std::size_t balancerCount() const { return Balancers.size(); }
  std::vector<std::size_t> running() const;

  /// Cuts a data centre off from the others and the platform, or ends that.
  void cutOff(std::size_t DataCentre, bool Cut);
  bool reachable(std::size_t From, std::size_t To) const { return !Cut[From][To]; }
  void setPeerLoss(double Loss) { PeerLoss = Loss; }

  /// Sends an IP packet to a random balancer of the fabric; returns the data centre it goes to.
  /// \p Target is the target that sent it, or NoTargetIndex for a caller.
  std::size_t sendThroughFabric(std::span<const std::byte> Inner, std::size_t HomeDataCentre,
                                std::uint32_t Target);

  simulated_platform &objects() { return Platform; }
  control_traffic traffic() const;
  /// Forgets the control traffic so far.
  void resetTraffic();

  /// Hash of the times and subjects of all events so far.
  std::uint64_t eventHash() const { return EventHash; }
  /// Hand-over options that couldn't be parsed.
  std::uint64_t malformed() const { return Malformed; }

  static constexpr std::uint32_t NoTargetIndex = ~0U;
  /// Bytes of a control datagram besides the message: IPv4 and UDP headers, and authentication.
  static constexpr std::size_t DatagramOverhead = 28 + message_authenticator::Overhead;

private:
  friend class balancer;
  enum class hop : std::uint8_t { FromCaller, FromTarget, FromBalancer, ToTarget, ToCaller };
  struct packet {
    hop Hop = hop::FromCaller;
    std::uint8_t OptionType = 0;
    std::uint8_t OptionSize = 0;
    std::uint16_t Size = 0;
    /// Balancer or target that it goes to.
    std::uint32_t Destination = 0;
    /// Target that sent it, or virtual network identifier.
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
  /// Balancers that the fabric sends to; it follows the running ones with a delay.
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
