#ifndef BRIARPOINT_FORWARDER_FORWARDER_SETTINGS_H
#define BRIARPOINT_FORWARDER_FORWARDER_SETTINGS_H

#include "base/finding.h"
#include "base/instant.h"
#include "config/log_level.h"
#include "forward/warm_up_limiter.h"
#include "net/endpoint.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Settings of briarpoint-forwarder.
struct forwarder_settings {
  std::string Name;
  std::string DataCentre;
  /// Region of the data centre; empty if there is only one.
  std::string Region;
  /// UDP endpoint for packets of callers. Resets are sent to the same port number of the caller.
  endpoint Packets;
  /// HTTP endpoint for the readiness requests of the platform's routers.
  endpoint Readiness;
  /// HTTP endpoint of metrics and the state dump.
  endpoint Operator;
  /// UDP endpoint for messages between forwarders; port 0 if there are none. The port is the same
  /// on all instances.
  endpoint Peers;
  /// Addresses of a few instances, which may be outdated. Their forwarders read the store's
  /// revision for the others. The ports are ignored.
  std::vector<endpoint> Seeds;
  /// Errors of seeds that can't be read and were left out. The list comes from other programs, so
  /// one odd entry must not keep the process from starting.
  std::vector<finding> RefusedSeeds;
  /// HTTP endpoint of the platform's store.
  endpoint Store;
  /// Time after SIGTERM within which the process must exit.
  duration ShutdownTime = std::chrono::seconds(6);
  /// Age from which a flow may be discarded.
  duration FlowLifetime = std::chrono::seconds(60);
  /// Time limit from the store's receipt of a target's draining state until the target must get no
  /// new flows.
  duration DrainTime = std::chrono::seconds(3);
  /// Time limit from the store's receipt of a configuration until it must be in force.
  duration ConfigurationTime = std::chrono::seconds(3);
  /// Time limit from the store's acknowledgement of an evacuation until the data centre's targets
  /// must get no new flows; zero if evacuations aren't watched.
  duration EvacuationTime{};
  /// Time limit from the end of a failure of the store, or of the path to it, until the changes
  /// missed meanwhile must be known.
  duration ContactTime = std::chrono::seconds(4);
  /// Time for which the store keeps a change, so that a watch may request it.
  duration HistoryTime = std::chrono::seconds(20);
  /// Limits of the flows that are opened to cold targets; off by default.
  warm_up_settings WarmUp;
  /// Maximum number of tracked flows.
  std::uint32_t MaxFlows = 20'000;
  log_level LogLevel = log_level::Info;

  auto operator<=>(const forwarder_settings &) const = default;
};

/// Returns the names of the settings that differ.
std::vector<std::string> differingSettings(const forwarder_settings &A,
                                           const forwarder_settings &B);

/// Parses settings in TOML. Unknown fields are ignored, because the platform may add fields.
/// \throws findings_error with all findings other than RefusedSeeds.
forwarder_settings parseForwarderSettings(std::string_view Text, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_SETTINGS_H
