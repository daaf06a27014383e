#ifndef BRIARPOINT_IO_DAEMON_ARGUMENTS_H
#define BRIARPOINT_IO_DAEMON_ARGUMENTS_H

#include <functional>
#include <string>

namespace briarpoint {

/// What a daemon's command line is made of.
struct daemon_program {
  std::string Name;
  std::string Description;
  std::string Version;
  /// Environment variable that names the settings file if --config is missing; may be empty.
  std::string SettingsVariable;
};

/// Exit codes of a daemon.
inline constexpr int ExitInvalidSettings = 2;
inline constexpr int ExitStartFailed = 3;

/// Handles --help, --version and --check, and otherwise calls \p Serve with the settings file. \p
/// Check reads the settings. Findings that either throws are printed to the standard error stream.
/// Returns the exit code.
int runDaemonProgram(const daemon_program &Program, int ArgumentCount, char **Arguments,
                     const std::function<void(const std::string &File)> &Check,
                     const std::function<int(const std::string &File)> &Serve);

} // namespace briarpoint

#endif // BRIARPOINT_IO_DAEMON_ARGUMENTS_H
