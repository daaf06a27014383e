#ifndef BRIARPOINT_MEASURE_VARIANT_H
#define BRIARPOINT_MEASURE_VARIANT_H

#include "measure/simulation_settings.h"
#include "measure/traffic_settings.h"

namespace briarpoint::measure {

/// Deployment, scope and load that a case runs with.
struct variant {
  simulation_settings SimulationSettings;
  traffic_settings Traffic;
  /// Divides the spans and the number of flows, for quick tests; 1 for a measurement.
  std::uint32_t Scale = 1;
};

/// Returns the load of section 4 of the design page: some 77,000 open flows, long-lived and
/// short-lived ones mixed, 3,000 new ones a second in all.
variant makeVariant(const deployment &Deployment, ownership_scope Scope, std::uint64_t Seed,
                    std::uint32_t Scale);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_VARIANT_H
