#ifndef BRIARPOINT_STANDINS_TRAFFIC_STANDIN_H
#define BRIARPOINT_STANDINS_TRAFFIC_STANDIN_H

#include "base/seeded_random.h"
#include "standins/caller_flow.h"
#include "standins/traffic_result.h"
#include "standins/traffic_settings.h"

#include <map>
#include <memory>

namespace briarpoint {

/// Simulates callers that open flows to services over time, and checks the responses. Has no
/// sockets or clock.
class traffic_standin {
public:
  traffic_standin(traffic_settings Settings, instant Start);

  /// Opens new flows and sends requests and retransmissions that are due.
  void tick(instant Now);

  /// Handles an IP packet that a balancer sent towards a caller.
  void handlePacket(std::span<const std::byte> Packet, instant Now);

  /// Returns the IP packets to spray over the balancers and clears the queue.
  std::vector<std::vector<std::byte>> takeOutgoing();

  /// True when all flows were opened and have ended.
  bool finished() const;

  traffic_result result() const;

private:
  struct entry {
    /// Index in Settings.Services.
    std::size_t Service = 0;
    std::unique_ptr<caller_flow> Flow;
  };
  using flow_endpoints = std::pair<endpoint, endpoint>;

  void openFlow(std::uint32_t Number, instant Now);
  std::uint32_t totalFlows() const;
  double imbalance(const std::map<std::string, std::uint64_t> &Targets) const;

  traffic_settings Settings;
  instant Start;
  seeded_random Random;
  std::uint32_t Opened = 0;
  std::uint64_t Stray = 0;
  std::uint64_t Malformed = 0;
  std::map<flow_endpoints, entry> Flows;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TRAFFIC_STANDIN_H
