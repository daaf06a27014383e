#ifndef BRIARPOINT_TESTS_DATA_FABRIC_MODEL_SUPPORT_H
#define BRIARPOINT_TESTS_DATA_FABRIC_MODEL_SUPPORT_H

#include "tests/data/simulated_fabric_support.h"

namespace briarpoint::testing {

/// A fabric with callers and targets that follow the protocols. Members fail, join and leave, and
/// views with these changes reach the balancers at different times, as from the control plane.
/// Records each violation of the balancers' guarantees.
class fabric_model {
public:
  explicit fabric_model(std::uint64_t Seed, message_faults Faults);

  /// Events of a schedule.
  void openFlow(bool Udp);
  void sendOnFlow(std::size_t Flow);
  void closeFlow(std::size_t Flow);
  void killBalancers(std::size_t Count);
  void leaveBalancer();
  void joinBalancer();
  void drainTarget(std::size_t Target);

  /// Advances the simulation.
  void run(duration Time);

  /// Ends all faults, waits until views have converged, and records open flows that don't work as
  /// violations.
  void checkOpenFlows();

  /// Violations of the guarantees, one per line; empty if there are none.
  std::string Violations;
  std::size_t Established = 0;

private:
  enum class caller_state : std::uint8_t { Opening, Open, Closed };
  struct caller_flow {
    endpoint Caller;
    std::size_t Service = 0;
    transport Protocol = transport::Tcp;
    caller_state State = caller_state::Opening;
    target_id Target{};
    std::uint32_t Next = 0;
    instant RetryAt{};
    std::size_t Delivered = 0;
  };
  enum class change : std::uint8_t { Suspect, Remove, Stop, Ready };
  struct planned_change {
    instant At{};
    std::size_t Balancer = 0;
    change Change{};
  };

  static constexpr std::size_t BalancerCount = 8;
  /// Sequence number of every SYN.
  static constexpr std::uint32_t FirstSequence = 1000;

  void addViolation(const std::string &Text) { Violations += Text + "\n"; }
  std::size_t randomLive();
  void sendSetup(caller_flow &Flow);
  void sendData(caller_flow &Flow);
  void process();
  void receiveAtTarget(const target_packet &Arrived);
  void receiveAtCaller(const bytes &Packet);
  caller_flow *flowOf(const endpoint &Caller);
  void schedulePublish();
  void scheduleChange(duration Wait, std::size_t Balancer, change Change);
  void apply(const planned_change &Planned);
  void step();
  bool mayChangeMembers() const;

  simulated_fabric Net;
  std::vector<caller_flow> Flows;
  std::vector<planned_change> PlannedChanges;
  std::vector<instant> PublishAt = std::vector<instant>(BalancerCount, Never);
  instant NextFaultAt{};
};

} // namespace briarpoint::testing

#endif // BRIARPOINT_TESTS_DATA_FABRIC_MODEL_SUPPORT_H
