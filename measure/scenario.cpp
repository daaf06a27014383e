#include "measure/scenario.h"

namespace briarpoint::measure {

using std::chrono::milliseconds;
using std::chrono::seconds;

scenario::scenario(const variant &Variant)
    : Variant(Variant), Flows(Variant.Traffic, Variant.SimulationSettings.Deployment),
      Simulation(Variant.SimulationSettings, Flows) {}

bool scenario::warmUp() {
  if (!Simulation.runUntil(Simulation.now() + seconds(60), [&] { return allReady(); }))
    return false;
  // Puts the configuration in force and waits for the slow start of the new targets.
  std::vector<patch_operation> Operations;
  for (const service_config &Service : makeServices(Variant.SimulationSettings.Deployment))
    Operations.emplace_back(put_service{Service});
  submit(Operations, [] {});
  if (!Simulation.runUntil(Simulation.now() + seconds(30),
                           [&] { return AcceptedVersion > 0 && allInForce(AcceptedVersion); }))
    return false;
  run(seconds(35));
  Flows.start(Simulation);
  run(Variant.Traffic.RampUp + seconds(8));
  Flows.resetCounts();
  Simulation.resetTraffic();
  MeasurementStart = Simulation.now();
  return true;
}

void scenario::submit(std::vector<patch_operation> Operations, std::function<void()> Done) {
  ++OpenPatches;
  patch Patch;
  Patch.Id = "patch-" + std::to_string(++PatchesSubmitted);
  Patch.Operations = std::move(Operations);
  trySubmit(std::move(Patch), std::move(Done));
}

void scenario::trySubmit(patch Patch, std::function<void()> Done) {
  // Operators use a balancer that reaches the platform.
  std::size_t Picked = pickBalancer();
  while (!Simulation.reachable(Simulation.dataCentreOf(Picked), OutsideIndex))
    Picked = pickBalancer();
  balancer &ViaBalancer = *Simulation.find(Picked);
  if (Patch.Base < AcceptedVersion || Patch.Base == 0)
    Patch.Base = ViaBalancer.control().inForce()->Version;
  const auto Handle = [this, Patch, Done = std::move(Done)](const patch_outcome &Outcome) {
    if (Outcome.Status == patch_status::Accepted) {
      AcceptedVersion = std::max(AcceptedVersion, Outcome.Version);
      --OpenPatches;
      Done();
      return;
    }
    patch Again = Patch;
    if (Outcome.Status == patch_status::Stale)
      Again.Base = Outcome.Version;
    after(milliseconds(500), [this, Again, Done] { trySubmit(Again, Done); });
  };
  ViaBalancer.control().submitPatch(Patch, Simulation.now(), Handle);
}

void scenario::drainTarget(std::uint32_t Target, bool Remove) {
  const fake_target &TargetState = Flows.targets()[Target];
  const std::string &Service = Variant.SimulationSettings.Deployment.Services[TargetState.Service];
  submit({set_target_intent{Service, TargetState.Config.Name, target_intent::Leaving}},
         [this, Target, Remove] {
           Flows.markLeaving(Target);
           after(seconds(5), [this, Target] { Flows.targets()[Target].Draining = true; });
           if (Remove)
             removeWhenEmpty(Target);
         });
}

void scenario::removeWhenEmpty(std::uint32_t Target) {
  const fake_target &TargetState = Flows.targets()[Target];
  if (TargetState.Connections > 0) {
    after(seconds(1), [this, Target] { removeWhenEmpty(Target); });
    return;
  }
  const std::string &Service = Variant.SimulationSettings.Deployment.Services[TargetState.Service];
  submit({remove_target{Service, TargetState.Config.Name}}, [] {});
}

void scenario::replaceTarget(std::uint32_t Target) {
  addTarget(Flows.targets()[Target].Service);
  drainTarget(Target, true);
}

void scenario::addTarget(std::uint32_t Service) {
  const std::string &Name = Variant.SimulationSettings.Deployment.Services[Service];
  const target_config Config =
      makeTarget(Variant.SimulationSettings.Deployment, Service, NextTargetNumber[Service]++);
  const std::uint32_t Target = Flows.addTarget(Name, Service, Config);
  // Balancers may use the target as soon as the platform has stored the patch, before the outcome
  // is known here. Plain hashing assigns existing flows to it only after the outcome.
  Flows.targets()[Target].LeavingSince = Never;
  submit({put_target{Name, Config}}, [this, Target] { Flows.markActive(Target); });
}

std::size_t scenario::pickBalancer() {
  return pickBalancer(Simulation.random().below(DataCentreCount));
}

std::size_t scenario::pickBalancer(std::size_t DataCentre) {
  std::vector<std::size_t> Usable;
  for (const std::size_t I : Simulation.running())
    if (!Simulation.find(I)->Leaving && Simulation.dataCentreOf(I) == DataCentre)
      Usable.push_back(I);
  return Usable.at(Simulation.random().below(Usable.size()));
}

void scenario::leaveBalancer(std::size_t DataCentre) { Simulation.leave(pickBalancer(DataCentre)); }

bool scenario::allReady() const {
  for (const std::size_t I : Simulation.running())
    if (!Simulation.find(I)->control().isReady() && !Simulation.find(I)->Leaving)
      return false;
  return true;
}

bool scenario::allInForce(config_version Version) const {
  for (const std::size_t I : Simulation.running())
    if (Simulation.find(I)->control().inForce()->Version < Version)
      return false;
  return true;
}

bool scenario::versionFell() const {
  for (const std::size_t I : Simulation.running())
    if (Simulation.find(I)->versionFell())
      return true;
  return false;
}

void scenario::reportFlows(report &Report) {
  const traffic_counts &Counts = Flows.counts();
  Report.atMost("broken_flows", static_cast<double>(Counts.broken()), 0);
  Report.atMost("packets_to_wrong_service", static_cast<double>(Counts.WrongService), 0);
  Report.atMost("new_flows_on_leaving_targets", static_cast<double>(Counts.NewOnLeaving), 0);
  Report.atMost("not_run_answers_that_had_run", static_cast<double>(Counts.NotRunButRan), 0);
  Report.atMost("versions_fell", versionFell() ? 1 : 0, 0);
  Report.atMost("malformed_handovers", static_cast<double>(Simulation.malformed()), 0);
  Report.atLeast("flows_opened", static_cast<double>(Counts.Opened), 1);
  Report.atLeast("answers", static_cast<double>(Counts.Answers), 1);
  Report.figure("broken_misrouted", Counts.BrokenMisrouted);
  Report.figure("broken_reset", Counts.BrokenReset);
  Report.figure("broken_stalled", Counts.BrokenStalled);
  Report.figure("broken_flows_plain_hashing", Counts.PlainBroken);
  reportSetups(Report);
  reportTraffic(Report);
}

void scenario::reportSetups(report &Report) {
  const traffic_counts &Counts = Flows.counts();
  Report.figure("simulated_seconds",
                std::chrono::duration<double>(Simulation.now() - MeasurementStart).count());
  Report.figure("new_flows_per_second", Flows.newFlowsPerSecond());
  Report.figure("open_flows", Flows.openFlows());
  Report.figure("requests", Counts.Requests);
  Report.figure("setups_rejected", Counts.Rejected);
  Report.figure("setups_unanswered", Counts.Unanswered);
  Report.figure("closes_unanswered", Counts.CloseUnanswered);
  Report.figure("flows_ended_with_dead_target", Counts.EndedWithDeadTarget);
  Report.figure("flow_imbalance",
                std::max(Flows.flowImbalance().mean(0), Flows.flowImbalance().mean(1)));
  Report.figure("flow_imbalance_plain_hashing",
                std::max(Flows.plainImbalance().mean(0), Flows.plainImbalance().mean(1)));
  data_plane_counters Sum;
  for (const std::size_t I : Simulation.running()) {
    const data_plane_counters Own = Simulation.find(I)->data().counters();
    Sum.Records += Own.Records;
    for (std::size_t Class = 0; Class < RequestClassCount; ++Class)
      Sum.Rejected[Class] += Own.Rejected[Class];
    for (std::size_t Reason = 0; Reason < DropReasonCount; ++Reason)
      Sum.Dropped[Reason] += Own.Dropped[Reason];
  }
  Report.figure("records_held", Sum.Records);
  Report.figure("dropped_by_reason", Sum.Dropped);
  Report.figure("admission_rejected_by_class", Sum.Rejected);
  Report.mixIntoHash(Simulation.eventHash());
}

void scenario::reportTraffic(report &Report) {
  const control_traffic Traffic = Simulation.traffic();
  Report.atMost("control_bytes_per_second", Traffic.mean(), 4096);
  Report.figure("control_busiest_second", Traffic.BusiestSecond);
  Report.figure("control_heartbeats", Traffic.mean(traffic_kind::Heartbeats));
  Report.figure("control_states", Traffic.mean(traffic_kind::States));
  Report.figure("control_records", Traffic.mean(traffic_kind::Records));
  Report.figure("control_probes", Traffic.mean(traffic_kind::Probes));
  Report.figure("control_configuration", Traffic.mean(traffic_kind::Configuration));
  Report.figure("handover_option_bytes_per_second", Traffic.mean(traffic_kind::HandoverOptions));
}

} // namespace briarpoint::measure
