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
  /// configuration for peers (TCP), operators (TCP). Peers learn the first three.
  endpoint Data;
  endpoint Control;
  endpoint Rpc;
  endpoint Operator;

  /// Name of the fabric; balancers of another fabric are refused as peers.
  std::string FabricName;
  /// Where packets for callers are sent (Geneve).
  endpoint Fabric;
  /// Outer source addresses from which the fabric sends packets; never empty. If the settings name
  /// none, it is the address of Fabric.
  std::vector<ip_address> OuterSources;

  /// Address of the platform; nothing if the configuration is held in memory.
  std::optional<endpoint> Platform;
  /// With a configuration in memory: the file that it is read from at the start.
  std::string ConfigurationFile;
  secret PlatformToken;

  /// Authenticates messages between balancers. During a key change messages of either key are
  /// accepted.
  secret Key;
  std::optional<secret> PreviousKey;
  /// Required from operators for changes.
  secret OperatorToken;

  settings_limits Limits;
  /// HashSeed is derived from the secret hash_seed.
  data_plane_settings DataPlane;
  /// Self and Seeds are filled from the settings above; the incarnation is 0.
  control_plane_settings ControlPlane;

  log_level LogLevel = log_level::Info;
  /// After a request to stop, the process ends at the latest after this time.
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
