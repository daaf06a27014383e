#ifndef BRIARPOINT_FORWARDER_FORWARDER_SETTINGS_H
#define BRIARPOINT_FORWARDER_FORWARDER_SETTINGS_H

#include "base/instant.h"
#include "config/log_level.h"
#include "net/endpoint.h"

#include <compare>
#include <string>
#include <string_view>

namespace briarpoint {

/// Settings of briarpoint-forwarder.
struct forwarder_settings {
  std::string Name;
  std::string DataCentre;
  /// UDP endpoint for packets of callers. Resets are sent to the same port of the caller.
  endpoint Packets;
  /// HTTP endpoint that the platform's routers ask for readiness.
  endpoint Readiness;
  /// HTTP endpoint of metrics and the state dump.
  endpoint Operator;
  /// The platform's store.
  endpoint Store;
  /// Time after SIGTERM within which the process must have ended.
  duration ShutdownTime = std::chrono::seconds(6);
  /// Age at which a flow may be discarded.
  duration FlowLifetime = std::chrono::seconds(60);
  /// Time after the store knows of a draining target until it must get no new flows.
  duration DrainTime = std::chrono::seconds(3);
  /// Time after the store has a configuration until it must be in force.
  duration ConfigurationTime = std::chrono::seconds(3);
  /// Time after the end of trouble, of the store or of the path to it, until what was missed must
  /// be known.
  duration ContactTime = std::chrono::seconds(4);
  /// Time for which the store keeps the changes that a watch may ask for.
  duration HistoryTime = std::chrono::seconds(20);
  std::uint32_t MaxFlows = 20'000;
  log_level LogLevel = log_level::Info;

  auto operator<=>(const forwarder_settings &) const = default;
};

/// Parses settings in TOML. Unknown fields are ignored, because the platform may add some.
/// \throws findings_error with all findings.
forwarder_settings parseForwarderSettings(std::string_view Text, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_SETTINGS_H
