#include "measure/variant.h"

namespace briarpoint::measure {

variant makeVariant(const deployment &Deployment, ownership_scope Scope, std::uint64_t Seed,
                    std::uint32_t Scale) {
  variant Variant;
  Variant.Fixture.Deployment = Deployment;
  Variant.Fixture.Scope = Scope;
  Variant.Fixture.Seed = Seed;
  Variant.Scale = Scale;
  // A short-lived flow is open for about ShortRequests times ShortGap.
  traffic_settings &Traffic = Variant.Traffic;
  Traffic.NewFlows = 3000.0 / Scale;
  const double ShortOpen = Traffic.NewFlows * Traffic.ShortRequests *
                           std::chrono::duration<double>(Traffic.ShortGap).count();
  Traffic.LongFlows = Deployment.OpenFlows / Scale - static_cast<std::uint32_t>(ShortOpen);
  return Variant;
}

} // namespace briarpoint::measure
