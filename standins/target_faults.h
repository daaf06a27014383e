#ifndef BRIARPOINT_STANDINS_TARGET_FAULTS_H
#define BRIARPOINT_STANDINS_TARGET_FAULTS_H

#include "base/instant.h"

#include <string_view>

namespace briarpoint {

/// How a simulated target misbehaves. Set by options and by POST /faults.
struct target_faults {
  /// Says in its health response that it is draining; serves on.
  bool Draining = false;
  /// Refuses new flows and says so.
  bool Shedding = false;
  /// Health stays as it was when this was set.
  bool LaggingHealth = false;
  /// Says that it is active and idle, whatever is true.
  bool MisleadingHealth = false;
  /// Gives no health response.
  bool NoHealth = false;
  /// Established connections get no reply any more, new ones work.
  bool SilentConnections = false;
  /// Takes no new flows before this time after the start has passed.
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
