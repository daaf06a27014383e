#include "measure/flow_case.h"

namespace briarpoint::measure {

using std::chrono::seconds;

namespace {

void balance(scenario &Scenario, report &Report) {
  Scenario.run(seconds(60));
  const traffic &Flows = Scenario.flows();
  for (std::uint32_t Service = 0; Service < 2; ++Service) {
    const std::string &Name = Scenario.simulation().settings().Deployment.Services[Service];
    Report.atMost("flow_imbalance_" + Name, Flows.flowImbalance().mean(Service), 1.015);
    Report.figure("flow_imbalance_largest_" + Name, Flows.flowImbalance().Largest[Service]);
    Report.figure("plain_hashing_" + Name, Flows.plainImbalance().mean(Service));
  }
  Scenario.reportFlows(Report);
}

/// Returns the mean service time at which the requests of all flows use the share \p Use of all
/// slots.
duration serviceTime(const variant &Variant, double Use) {
  const deployment &Deployment = Variant.SimulationSettings.Deployment;
  const double Requests =
      Variant.Traffic.NewFlowsPerSecond * Variant.Traffic.RequestsPerShortFlow +
      Variant.Traffic.LongFlows /
          std::chrono::duration<double>(Variant.Traffic.LongRequestInterval).count();
  const double Slots = Deployment.Slots * (Deployment.Targets[0] + Deployment.Targets[1]);
  return duration(static_cast<duration::rep>(Use * Slots / Requests * 1e9));
}

void balanceSkewed(scenario &Scenario, report &Report) {
  // Lets the weights settle before the measurement.
  Scenario.run(seconds(60));
  Scenario.flows().resetCounts();
  Scenario.run(seconds(90));
  Report.atMost("slot_use_imbalance", Scenario.flows().slotUseImbalance(0), 1.15);
  Report.figure("slot_use_imbalance_plain_hashing", Scenario.flows().plainSlotUseImbalance(0));
  Scenario.reportFlows(Report);
}

void overload(scenario &Scenario, report &Report) {
  // The long-lived flows are open. Starts the load and lets admission settle before the
  // measurement.
  traffic &Flows = Scenario.flows();
  Flows.setNewFlowsPerSecond(3000.0 / Scenario.scale());
  Scenario.run(seconds(30));
  Flows.resetCounts();
  Scenario.run(seconds(55));
  // Flows opened in the last 5 s don't count, because they may not get an answer within the run.
  Flows.countOffers(false);
  Scenario.run(seconds(5));
  const traffic_counts &Counts = Flows.counts();
  const auto Share = [&](request_class Class) {
    const auto I = static_cast<std::size_t>(Class);
    return static_cast<double>(Counts.Delivered[I]) / static_cast<double>(Counts.Offered[I]);
  };
  Report.atLeast("critical_delivered", Share(request_class::Critical), 0.999);
  Report.figure("normal_delivered", Share(request_class::Normal));
  Report.figure("bulk_delivered", Share(request_class::Bulk));
  // Capacity of the slots in seconds of service time.
  const deployment &Deployment = Scenario.simulation().settings().Deployment;
  const double Capacity = 60.0 * Deployment.Slots * Deployment.Targets[0];
  Report.atLeast("goodput", Flows.usefulSeconds(0) / Capacity, 0.95);
  Report.figure("refused_by_targets", Flows.refused());
  std::vector<double> Weights;
  std::vector<double> Use;
  fabric_simulation &Simulation = Scenario.simulation();
  for (const target_view &Target : Simulation.find(Simulation.running().front())->view()->targets())
    Weights.push_back(Target.Weight);
  for (const fake_target &Target : Flows.targets())
    Use.push_back(Target.BusySeconds / 60.0 / Deployment.Slots);
  Report.figure("weights_at_end", Weights);
  Report.figure("slot_use", Use);
  Scenario.reportFlows(Report);
}

void prepareOverload(variant &Variant) {
  traffic_settings &Traffic = Variant.Traffic;
  Traffic.ModelSlots = true;
  Traffic.UdpShare = 0.05;
  Traffic.RequestsPerShortFlow = 1;
  Traffic.ShortRequestInterval = std::chrono::milliseconds(500);
  // Long-lived flows are open but idle. The slots then serve only requests of new flows, which are
  // subject to admission control.
  Traffic.LongRequestInterval = std::chrono::hours(10);
  // A short listen backlog: requests wait for about 8 service times at most.
  Traffic.QueueLimit = 8 * Variant.SimulationSettings.Deployment.Slots;
  Traffic.ServiceTime = serviceTime(Variant, 1.5);
  Traffic.NewFlowsPerSecond = 0.0;
  Traffic.RampUp = seconds(60);
}

void prepareSkewed(variant &Variant) {
  Variant.Traffic.ModelSlots = true;
  Variant.Traffic.ReportAgeSeconds = 5;
  Variant.Traffic.LongRequestInterval = std::chrono::seconds(400);
  // With 2 of 14 targets three times slower, 0.5 of the capacity of equal targets is about 0.55 of
  // the real capacity.
  Variant.Traffic.ServiceTime = serviceTime(Variant, 0.5);
  Variant.Traffic.SlowTargets = 2;
}

} // namespace

void addLoadCases(std::vector<measure_case> &Cases) {
  addFlowCase(Cases, {"balance", nullptr, balance});
  addFlowCase(Cases, {"balance_skewed", prepareSkewed, balanceSkewed});
  addFlowCase(Cases, {"overload", prepareOverload, overload});
}

} // namespace briarpoint::measure
