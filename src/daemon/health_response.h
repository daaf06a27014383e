#ifndef BRIARPOINT_DAEMON_HEALTH_RESPONSE_H
#define BRIARPOINT_DAEMON_HEALTH_RESPONSE_H

#include "core/target/probe_result.h"

#include <optional>
#include <string_view>

namespace briarpoint {

/// Parses the body of a target's health response: a JSON object with "state" ("active", "draining"
/// or "shedding"), "slots", "slots_in_use" and "connections". Returns nothing if it is malformed.
/// Unknown fields are ignored, because targets may send more.
std::optional<probe_result> parseHealthResponse(target_id Target, std::string_view Body);

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_HEALTH_RESPONSE_H
