#include "io/daemon_arguments.h"

#include "base/findings_error.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace briarpoint {

namespace {

cxxopts::Options makeOptions(const daemon_program &Program) {
  const std::string Default = Program.SettingsVariable.empty()
                                  ? "Settings file (TOML)"
                                  : "Settings file (TOML); default: $" + Program.SettingsVariable;
  cxxopts::Options Options(Program.Name, Program.Description);
  Options.add_options()("config", Default,
                        cxxopts::value<std::string>())("check", "Check the settings and exit")(
      "version", "Print the version and exit")("help", "Print this help and exit");
  return Options;
}

/// Returns the settings file, or nothing if none is named.
std::string settingsFile(const daemon_program &Program, const cxxopts::ParseResult &Parsed) {
  if (Parsed.count("config") != 0)
    return Parsed["config"].as<std::string>();
  const char *const FromEnvironment =
      Program.SettingsVariable.empty() ? nullptr : std::getenv(Program.SettingsVariable.c_str());
  return FromEnvironment == nullptr ? "" : FromEnvironment;
}

int run(const daemon_program &Program, int ArgumentCount, char **Arguments,
        const std::function<void(const std::string &)> &Check,
        const std::function<int(const std::string &)> &Serve) {
  cxxopts::Options Options = makeOptions(Program);
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  if (Parsed.count("version") != 0) {
    std::cout << Program.Name << " " << Program.Version << "\n";
    return 0;
  }
  const std::string File = settingsFile(Program, Parsed);
  if (File.empty()) {
    std::cerr << Program.Name << ": --config is required\n";
    return ExitInvalidSettings;
  }
  if (Parsed.count("check") == 0)
    return Serve(File);
  Check(File);
  return 0;
}

} // namespace

int runDaemonProgram(const daemon_program &Program, int ArgumentCount, char **Arguments,
                     const std::function<void(const std::string &)> &Check,
                     const std::function<int(const std::string &)> &Serve) {
  try {
    return run(Program, ArgumentCount, Arguments, Check, Serve);
  } catch (const findings_error &Error) {
    for (const finding &Finding : Error.findings())
      std::cerr << toString(Finding) << "\n";
  } catch (const std::exception &Error) {
    std::cerr << Program.Name << ": " << Error.what() << "\n";
  }
  return ExitInvalidSettings;
}

} // namespace briarpoint
