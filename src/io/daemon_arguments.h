#ifndef BRIARPOINT_IO_DAEMON_ARGUMENTS_H
#define BRIARPOINT_IO_DAEMON_ARGUMENTS_H

#include <functional>
#include <string>

namespace briarpoint {

/// Texts of a daemon's command line.
struct daemon_program {
  std::string Name;
  std::string Description;
  std::string Version;
  /// Environment variable that names the settings file if --config is missing; may be empty.
  std::string SettingsVariable;
};

/// Exit codes of a daemon: invalid command line or settings, and a failed start.
inline constexpr int ExitInvalidSettings = 2;
inline constexpr int ExitStartFailed = 3;

/// Handles --help, --version and --check, and otherwise runs the daemon: calls \p Serve with the
/// settings file and returns its exit code. For --check, \p Check validates the settings file.
/// Findings and other exceptions that either throws are printed to the standard error stream; the
/// exit code is then ExitInvalidSettings.
int runDaemonProgram(const daemon_program &Program, int ArgumentCount, char **Arguments,
                     const std::function<void(const std::string &File)> &Check,
                     const std::function<int(const std::string &File)> &Serve);

} // namespace briarpoint

#endif // BRIARPOINT_IO_DAEMON_ARGUMENTS_H
