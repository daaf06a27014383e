#ifndef BRIARPOINT_CORE_TARGET_PROBE_RESULT_H
#define BRIARPOINT_CORE_TARGET_PROBE_RESULT_H

#include "base/ids.h"

namespace briarpoint {

/// Outcome of one probe of a target (HTTP GET /health with a JSON answer).
struct probe_result {
  target_id Target{};
  /// False after a timeout, a refused connection, or a malformed answer. The fields below are unset
  /// then.
  bool Answered = false;
  bool Draining = false;
  bool Shedding = false;
  std::uint32_t Slots = 0;
  std::uint32_t SlotsInUse = 0;
  std::uint32_t Connections = 0;

  auto operator<=>(const probe_result &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_PROBE_RESULT_H
