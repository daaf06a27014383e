#ifndef BRIARPOINT_STANDINS_CALLER_SETTINGS_H
#define BRIARPOINT_STANDINS_CALLER_SETTINGS_H

#include "base/instant.h"
#include "net/endpoint.h"

#include <string>

namespace briarpoint {

/// Settings of one flow of a simulated caller.
struct caller_settings {
  endpoint Caller;
  endpoint Service;
  /// Virtual network identifier of the service, which every response must name.
  std::uint32_t Vni = 0;
  /// Unique within a run; part of every request.
  std::string Token;
  std::uint32_t Requests = 3;
  /// Wait between a response and the next request.
  duration Pause = std::chrono::milliseconds(500);
  duration RetransmitInterval = std::chrono::milliseconds(300);
  /// A packet without an answer for this time ends the flow.
  duration ResponseTimeout = std::chrono::seconds(8);

  auto operator<=>(const caller_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_CALLER_SETTINGS_H
