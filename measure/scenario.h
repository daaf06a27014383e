#ifndef BRIARPOINT_MEASURE_SCENARIO_H
#define BRIARPOINT_MEASURE_SCENARIO_H

#include "config/patch.h"
#include "core/sync/patch_outcome.h"
#include "measure/balancer.h"
#include "measure/report.h"
#include "measure/traffic.h"
#include "measure/variant.h"

namespace briarpoint::measure {

/// Simulation and traffic of one case, with the actions of the operators.
class scenario {
public:
  explicit scenario(const variant &Variant);

  fabric_simulation &simulation() const { return Simulation; }
  traffic &flows() const { return Flows; }

  /// Starts the balancers, puts the configuration in force, opens the flows and then resets all
  /// counts. Returns false if the balancers don't become ready or the configuration isn't accepted
  /// and in force in time.
  bool warmUp();
  std::uint32_t scale() const { return Variant.Scale; }
  void run(duration Span) { Simulation.runUntil(Simulation.now() + Span); }
  /// Schedules an action for \p Span from now.
  void after(duration Span, std::function<void()> Action) {
    Simulation.scheduleCall(Simulation.now() + Span, std::move(Action));
  }

  /// Submits a patch through a random running balancer and repeats it until it is accepted: with
  /// the same id, and with a new base after it was stale. Calls \p Done once, when the patch is
  /// accepted.
  void submit(std::vector<patch_operation> Operations, std::function<void()> Done);
  /// Adds a target to the service of \p Target, and drains and removes \p Target.
  void replaceTarget(std::uint32_t Target);
  /// Drains a target by a patch. 5 s after the patch is accepted, the target requests its callers
  /// to reconnect. If \p Remove is set, the target is removed when its last flow has ended.
  void drainTarget(std::uint32_t Target, bool Remove);
  /// Adds a target to a service under a new number.
  void addTarget(std::uint32_t Service);
  /// Adds a new balancer, or lets a random running balancer of the data centre leave.
  void joinBalancer(std::size_t DataCentre) { Simulation.addBalancer(DataCentre); }
  void leaveBalancer(std::size_t DataCentre);
  /// Returns a random running balancer that isn't leaving.
  std::size_t pickBalancer();
  std::size_t pickBalancer(std::size_t DataCentre);

  /// Return whether all running balancers are ready (leaving ones aside), and whether all have at
  /// least this version in force.
  bool allReady() const;
  bool allInForce(config_version Version) const;
  bool versionFell() const;
  config_version acceptedVersion() const { return AcceptedVersion; }
  /// Number of submitted patches that aren't accepted yet.
  std::size_t pending() const { return OpenPatches; }

  /// Adds checks of broken flows, misdirected packets, new flows on leaving targets and control
  /// traffic, and further figures.
  void reportFlows(report &Report);
  void reportTraffic(report &Report);

private:
  void trySubmit(patch Patch, std::function<void()> Done);
  void removeWhenEmpty(std::uint32_t Target);
  void reportSetups(report &Report);

  variant Variant;
  mutable traffic Flows;
  mutable fabric_simulation Simulation;
  config_version AcceptedVersion = 0;
  std::size_t OpenPatches = 0;
  std::uint32_t PatchesSubmitted = 0;
  std::array<std::uint32_t, 2> NextTargetNumber{100, 100};
  instant MeasurementStart{};
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_SCENARIO_H
