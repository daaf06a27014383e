#ifndef BRIARPOINT_CONFIG_SETTINGS_H
#define BRIARPOINT_CONFIG_SETTINGS_H

#include "base/finding.h"
#include "config/log_level.h"
#include "config/secret.h"
#include "config/settings_limits.h"
#include "core/control/control_plane_settings.h"
#include "core/data/data_plane_settings.h"

#include <optional>
#include <string>
#include <vector>

namespace briarpoint {

/// Settings of the daemon.
struct settings {
  /// Unique among the balancers of a fabric.
  std::string Name;
  std::string DataCentre;
  /// Failure domain within the data centre; empty if unknown.
  std::string Rack;

  /// Endpoints that this process listens on: Geneve (UDP), heartbeats and records (UDP),
  /// configuration for peers (TCP), operators (TCP). The first three are announced to peers.
  endpoint Data;
  endpoint Control;
  endpoint Rpc;
  endpoint Operator;

  /// Name of the fabric; balancers of another fabric are refused as peers.
  std::string FabricName;
  /// Endpoint to which packets for callers are sent (Geneve).
  endpoint Fabric;
  /// Outer source addresses from which the fabric sends packets; never empty. By default, the
  /// address of Fabric.
  std::vector<ip_address> OuterSources;

  /// Address of the platform; empty if the configuration is kept in memory.
  std::optional<endpoint> Platform;
  /// File from which a configuration in memory is read at the start; empty otherwise.
  std::string ConfigurationFile;
  secret PlatformToken;

  /// Keys that authenticate messages between balancers. During a key change, messages with either
  /// key are accepted.
  secret Key;
  std::optional<secret> PreviousKey;
  /// Token that operators must send with changes.
  secret OperatorToken;

  settings_limits Limits;
  /// HashSeed is derived from the secret hash_seed.
  data_plane_settings DataPlane;
  /// Self is filled in from the settings above, with incarnation 0. Seeds are those of the
  /// settings.
  control_plane_settings ControlPlane;

  log_level LogLevel = log_level::Info;
  /// Maximum time from a request to stop until the process ends.
  duration ShutdownTimeout = std::chrono::seconds(60);
};

/// Parses the settings of the daemon from TOML. \p Source names the input in findings.
/// \throws findings_error with all findings: file, line, column and path of the field.
settings parseSettings(std::string_view Text, const std::string &Source);

/// Returns a finding for each difference that takes effect at a restart only. Log level, shutdown
/// deadline, keys, operator token and the limits of the operators' server can be changed in a
/// running process.
std::vector<finding> findChangesRequiringRestart(const settings &Old, const settings &New,
                                                 const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_SETTINGS_H
