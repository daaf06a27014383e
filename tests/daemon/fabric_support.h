#ifndef BRIARPOINT_TESTS_DAEMON_FABRIC_SUPPORT_H
#define BRIARPOINT_TESTS_DAEMON_FABRIC_SUPPORT_H

#include "base/seeded_random.h"
#include "daemon/packet_task.h"
#include "standins/geneve_socket.h"
#include "standins/target_standin.h"

#include <deque>
#include <memory>

namespace briarpoint {

/// A clock that only tests advance.
class manual_time_source final : public time_source {
public:
  instant now() override { return Now; }
  void advance(duration Length) { Now += Length; }

private:
  instant Now{std::chrono::hours(1)};
};

/// One balancer's packet task with its mailboxes. The test acts as the control task.
struct balancer_fixture {
  balancer_fixture(const std::string &Name, const endpoint &Fabric, time_source &Clock);

  std::string Name;
  packet_commands Commands;
  packet_reports Reports;
  seeded_random Random;
  packet_task Task;
};

/// Balancers, targets of two services and a fabric socket on loopback, with a clock that the test
/// advances.
class packet_fabric {
public:
  /// Services have the numbers 1 and 2 and the addresses 203.0.113.1 and .2, port 80 (TCP) and
  /// 53 (UDP).
  packet_fabric(std::size_t BalancerCount, std::size_t TargetsPerService);

  /// Sends the same view to all balancers, with the targets in \p Leaving accepting no new flows.
  void publishView(config_version Version, const std::vector<std::size_t> &Leaving = {});

  /// Sends a datagram from a socket to a balancer.
  static void sendRaw(geneve_socket &From, const endpoint &To, std::span<const std::byte> Payload);

  /// Runs balancers and targets until all datagrams in transit are handled.
  void settle();

  /// Geneve payloads that arrived at the fabric since the last call.
  std::vector<std::vector<std::byte>> takeFromFabric();

  endpoint serviceEndpoint(std::uint32_t Vni, std::uint16_t Port) const;

  manual_time_source Clock;
  geneve_socket FabricPort;
  std::deque<balancer_fixture> Balancers;
  struct target_fixture {
    target_fixture(const target_settings &Settings, instant Start);
    target_standin Target;
    geneve_socket Port;
    target_view View;
  };
  std::deque<target_fixture> Targets;
  seeded_random Random{7};

private:
  std::vector<std::vector<std::byte>> Arrived;
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_DAEMON_FABRIC_SUPPORT_H
