#include "measure/flow_case.h"

namespace briarpoint::measure {

using std::chrono::seconds;

namespace {

/// Submits a patch that adds a port of the bulk class to a service.
void addServicePort(scenario &Scenario, std::uint32_t Service) {
  const auto Running = Scenario.simulation().running();
  const auto InForce = Scenario.simulation().find(Running.front())->control().inForce();
  service_config Changed = InForce->Services.at(Service);
  Changed.Ports.push_back({7020, transport::Tcp, request_class::Bulk});
  Scenario.submit({put_service{Changed}}, [] {});
}

/// Schedules joins, leaves and drains of balancers and targets, first single ones, then several at
/// once.
void scheduleChanges(scenario &Scenario) {
  const auto After = [&](int Second, std::function<void()> Action) {
    Scenario.after(seconds(Second), std::move(Action));
  };
  After(1, [&] { Scenario.drainTarget(0, true); });
  After(5, [&] { Scenario.joinBalancer(0); });
  After(8, [&] { Scenario.addTarget(0); });
  After(12, [&] { addServicePort(Scenario, 0); });
  After(15, [&] { Scenario.leaveBalancer(1); });
  // Several changes at once.
  After(40, [&] {
    Scenario.joinBalancer(1);
    Scenario.leaveBalancer(0);
    Scenario.leaveBalancer(2);
    Scenario.replaceTarget(3);
    Scenario.drainTarget(15, false);
  });
  After(42, [&] { addServicePort(Scenario, 1); });
  After(44, [&] {
    Scenario.joinBalancer(2);
    Scenario.leaveBalancer(1);
    Scenario.addTarget(1);
  });
}

void plannedChanges(scenario &Scenario, report &Report) {
  scheduleChanges(Scenario);
  Scenario.run(seconds(130));
  Report.atMost("actions_not_finished", static_cast<double>(Scenario.pending()), 0);
  Scenario.reportFlows(Report);
}

/// Replaces every balancer, three at a time (one in each data centre), and half of the targets.
void rollingReplacement(scenario &Scenario, report &Report) {
  fabric_simulation &Simulation = Scenario.simulation();
  const std::vector<std::size_t> Old = Simulation.running();
  double NotReady = 0;
  std::uint32_t Target = 0;
  for (std::size_t I = 0; I < Old.size(); I += DataCentreCount) {
    std::vector<std::size_t> Batch(Old.begin() + I, Old.begin() + I + DataCentreCount);
    for (const std::size_t Balancer : Batch)
      Scenario.joinBalancer(Simulation.dataCentreOf(Balancer));
    // Two of 18 targets in each of the first four rounds, one in the fifth.
    for (int Count = 0; Count < 2 && Target < 9; ++Count)
      Scenario.replaceTarget(2 * Target++);
    const bool Ready =
        Simulation.runUntil(Simulation.now() + seconds(60), [&] { return Scenario.allReady(); });
    for (const std::size_t Balancer : Batch)
      Simulation.leave(Balancer);
    const bool Ended = Simulation.runUntil(Simulation.now() + seconds(90), [&] {
      return std::none_of(Batch.begin(), Batch.end(),
                          [&](std::size_t B) { return Simulation.find(B) != nullptr; });
    });
    NotReady += Ready && Ended ? 0 : 1;
  }
  Simulation.runUntil(Simulation.now() + seconds(90), [&] { return Scenario.pending() == 0; });
  Scenario.run(seconds(10));
  double OldTargets = 0;
  for (const auto &Service :
       Simulation.find(Simulation.running().front())->control().inForce()->Services)
    OldTargets += static_cast<double>(
        std::count_if(Service.Targets.begin(), Service.Targets.end(),
                      [](const target_config &T) { return T.Tunnel.Address.Bytes[3] < 100; }));
  Report.atMost("rounds_not_finished", NotReady, 0);
  Report.atMost("old_targets_left", OldTargets, 9);
  Scenario.reportFlows(Report);
}

} // namespace

void addPlannedCases(std::vector<measure_case> &Cases) {
  addFlowCase(Cases, {"planned_changes", nullptr, plannedChanges});
  addFlowCase(Cases, {"rolling_replacement", nullptr, rollingReplacement});
  // Views and messages are delayed differently at each balancer; the balancers' views differ for
  // seconds.
  const auto PrepareUnevenUpdates = [](variant &Variant) {
    Variant.SimulationSettings.MaxViewDelay = std::chrono::milliseconds(1500);
    Variant.SimulationSettings.MaxPeerDelay = std::chrono::milliseconds(600);
  };
  addFlowCase(Cases, {"uneven_updates", PrepareUnevenUpdates, plannedChanges});
  // 3,000 new flows per second and balancer, in a shorter run.
  const auto PrepareDenseLoad = [](variant &Variant) {
    Variant.Traffic.NewFlowsPerSecond = 18 * 3000.0 / Variant.Scale;
    Variant.Traffic.RequestsPerShortFlow = 1;
    Variant.Traffic.ShortRequestInterval = std::chrono::milliseconds(300);
  };
  const auto RunDenseCase = [](scenario &Scenario, report &Report) {
    Scenario.after(seconds(1), [&] { Scenario.drainTarget(0, false); });
    Scenario.after(seconds(2), [&] { Scenario.joinBalancer(0); });
    Scenario.after(seconds(3), [&] { Scenario.leaveBalancer(1); });
    Scenario.run(seconds(12));
    Scenario.reportFlows(Report);
  };
  addFlowCase(Cases, {"planned_changes_dense", PrepareDenseLoad, RunDenseCase});
}

} // namespace briarpoint::measure
