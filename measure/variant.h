#ifndef BRIARPOINT_MEASURE_VARIANT_H
#define BRIARPOINT_MEASURE_VARIANT_H

#include "measure/simulation_settings.h"
#include "measure/traffic_settings.h"

namespace briarpoint::measure {

/// Deployment, scope and load of one run of a case.
struct variant {
  simulation_settings SimulationSettings;
  traffic_settings Traffic;
  /// Divisor of the rate and the number of flows, for quick tests; 1 for a measurement.
  std::uint32_t Scale = 1;
};

/// Returns the load given in section 4 of the design page: about 77,000 open flows, long-lived and
/// short-lived ones mixed, and 3,000 new flows per second in all.
variant makeVariant(const deployment &Deployment, ownership_scope Scope, std::uint64_t Seed,
                    std::uint32_t Scale);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_VARIANT_H
