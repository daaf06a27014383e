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
  /// Reads an environment variable.
  using variable_reader = std::function<std::optional<std::string>(const std::string &)>;

  std::string Command;
  /// Arguments after the command.
  std::vector<std::string> Arguments;
  std::vector<endpoint> Servers;
  secret Token;
  std::string File;
  std::optional<std::string> Id;
  std::optional<config_version> Base;
  bool DryRun = false;
  bool Json = false;
  bool Balancer = false;
  bool Help = false;
  bool Version = false;
  duration Timeout{};
  duration PollInterval{};
  /// Rounds of the command watch; 0 for no limit.
  std::uint32_t Count = 0;
};

/// Parses the arguments without the program's name. The token comes from the option, else the
/// environment variable BRIARPOINT_TOKEN, else the file named by --token-file.
/// \throws ctl_error with exit_code::Usage.
ctl_options parseCtlOptions(const std::vector<std::string> &Arguments,
                            const ctl_options::variable_reader &Variable);

/// Reads a whole file; "-" is the standard input.
/// \throws ctl_error with exit_code::Usage.
std::string readInputFile(const std::string &Name);

/// Help text of a command, or of the program if \p Command is empty or unknown.
std::string ctlHelp(const std::string &Command);

/// Script that completes commands and options in bash.
std::string bashCompletion();

} // namespace briarpoint

#endif // BRIARPOINT_CTL_CTL_OPTIONS_H
