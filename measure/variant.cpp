#include "measure/variant.h"

namespace briarpoint::measure {

variant makeVariant(const deployment &Deployment, ownership_scope Scope, std::uint64_t Seed,
                    std::uint32_t Scale) {
  variant Variant;
  Variant.SimulationSettings.Deployment = Deployment;
  Variant.SimulationSettings.Scope = Scope;
  Variant.SimulationSettings.Seed = Seed;
  Variant.Scale = Scale;
  // A short-lived flow is open for about RequestsPerShortFlow * ShortRequestInterval.
  traffic_settings &Traffic = Variant.Traffic;
  Traffic.NewFlowsPerSecond = 3000.0 / Scale;
  const double ShortOpen = Traffic.NewFlowsPerSecond * Traffic.RequestsPerShortFlow *
                           std::chrono::duration<double>(Traffic.ShortRequestInterval).count();
  Traffic.LongFlows = Deployment.OpenFlows / Scale - static_cast<std::uint32_t>(ShortOpen);
  return Variant;
}

} // namespace briarpoint::measure
