#ifndef BRIARPOINT_CTL_CTL_OPTIONS_H
#define BRIARPOINT_CTL_CTL_OPTIONS_H

#include "base/instant.h"
#include "config/configuration.h"
#include "config/secret.h"
#include "net/endpoint.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briarpoint {

/// Command line of briarpointctl.
struct ctl_options {
  /// Returns the value of an environment variable, or nothing if it is not set.
  using variable_reader = std::function<std::optional<std::string>(const std::string &)>;

  std::string Command;
  /// Arguments after the command.
  std::vector<std::string> Arguments;
  /// Operator endpoints of balancers, in the order in which they are tried.
  std::vector<endpoint> Servers;
  /// Operator token; empty if none was given.
  secret Token;
  /// File with the patch; "-" is the standard input.
  std::string PatchFile;
  /// Id of the patch; replaces the id in the file.
  std::optional<std::string> PatchId;
  /// Base version of the patch; replaces the base in the file, or for the commands drain and
  /// undrain the current version.
  std::optional<config_version> BaseVersion;
  bool DryRun = false;
  bool Json = false;
  /// Drain a balancer rather than a target.
  bool DrainBalancer = false;
  bool Help = false;
  bool Version = false;
  /// Time limit of each request.
  duration Timeout{};
  /// Time between two status requests of the command watch.
  duration PollInterval{};
  /// Number of status requests per server after which the command watch ends; 0 for no limit.
  std::uint32_t MaxPolls = 0;
};

/// Parses \p Arguments, which do not include the program's name. The token is read from --token,
/// else from the environment variable BRIARPOINT_TOKEN, else from the file named by --token-file.
/// \throws ctl_error with exit_code::Usage.
ctl_options parseCtlOptions(const std::vector<std::string> &Arguments,
                            const ctl_options::variable_reader &ReadVariable);

/// Reads a whole file; "-" is the standard input.
/// \throws ctl_error with exit_code::Usage if the file cannot be opened.
std::string readInputFile(const std::string &Name);

/// Returns the help text of a command, or of the program if \p Command is empty or unknown.
std::string ctlHelp(const std::string &Command);

/// Returns a bash script that completes commands and options.
std::string bashCompletion();

} // namespace briarpoint

#endif // BRIARPOINT_CTL_CTL_OPTIONS_H
