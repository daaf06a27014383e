#ifndef BRIARPOINT_MEASURE_SCENARIO_H
#define BRIARPOINT_MEASURE_SCENARIO_H

#include "config/patch.h"
#include "core/sync/patch_outcome.h"
#include "measure/balancer.h"
#include "measure/report.h"
#include "measure/traffic.h"
#include "measure/variant.h"

namespace briarpoint::measure {

/// Fixture and traffic of one case, with the operators' actions.
class scenario {
public:
  explicit scenario(const variant &Variant);

  fabric_simulation &simulation() const { return Simulation; }
  traffic &flows() const { return Flows; }

  /// Starts the balancers, puts the configuration in force and opens the flows; the counts start
  /// afterwards. Returns false if the balancers don't get ready or the patch isn't accepted.
  bool warmUp();
  std::uint32_t scale() const { return Variant.Scale; }
  void run(duration Span) { Simulation.runUntil(Simulation.now() + Span); }
  /// Schedules an action at a time from now.
  void after(duration Span, std::function<void()> Action) {
    Simulation.scheduleCall(Simulation.now() + Span, std::move(Action));
  }

  /// Submits a patch through a random running balancer, again with the same id while its outcome is
  /// unknown, and with a new base while it is stale. \p Done is called once it is accepted.
  void submit(std::vector<patch_operation> Operations, std::function<void()> Done);
  /// An operator drains a target; 5 s later it asks its callers to reconnect. It is removed when
  /// its last flow has ended.
  void replaceTarget(std::uint32_t Target);
  void drainTarget(std::uint32_t Target, bool Remove);
  /// Adds a target to a service under a new number.
  void addTarget(std::uint32_t Service);
  /// A new balancer joins, or a random running one in the data centre leaves.
  void joinBalancer(std::size_t DataCentre) { Simulation.addBalancer(DataCentre); }
  void leaveBalancer(std::size_t DataCentre);
  /// Returns a random running balancer that isn't leaving.
  std::size_t pickBalancer();
  std::size_t pickBalancer(std::size_t DataCentre);

  /// Whether all running balancers are ready, and have at least this version in force.
  bool allReady() const;
  bool allInForce(config_version Version) const;
  bool versionFell() const;
  config_version acceptedVersion() const { return AcceptedVersion; }
  /// Open patches and removals.
  std::size_t pending() const { return OpenPatches; }

  /// Adds broken flows, misdirected packets, new flows on leaving targets and control traffic, with
  /// their bounds, and further figures.
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
  std::uint32_t Patches = 0;
  std::array<std::uint32_t, 2> NextTargetNumber{100, 100};
  instant MeasurementStart{};
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_SCENARIO_H
