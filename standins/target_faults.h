#ifndef BRIARPOINT_STANDINS_TARGET_FAULTS_H
#define BRIARPOINT_STANDINS_TARGET_FAULTS_H

#include "base/instant.h"

#include <string_view>

namespace briarpoint {

/// Faults of a simulated target. Set by options and by POST /faults.
struct target_faults {
  /// Reports draining in the health response, but continues to serve and to accept flows.
  bool Draining = false;
  /// Refuses new flows and reports shedding in the health response.
  bool Shedding = false;
  /// The health response stays as it was when this was set.
  bool LaggingHealth = false;
  /// Reports active and idle regardless of the actual state.
  bool MisleadingHealth = false;
  /// Answers health requests with status 500.
  bool NoHealth = false;
  /// Connections that exist when this is set get no more replies; new ones work.
  bool SilentConnections = false;
  /// Time after the start during which new flows are refused.
  duration ColdStart{0};

  auto operator<=>(const target_faults &) const = default;
};

/// Returns \p Base with the fields of a JSON object replaced: "draining", "shedding",
/// "lagging_health", "misleading_health", "no_health", "silent_connections" (booleans) and
/// "cold_start_ms" (integer).
/// \throws findings_error for malformed JSON, unknown fields and wrong types.
target_faults parseFaults(std::string_view Json, const target_faults &Base);

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TARGET_FAULTS_H
