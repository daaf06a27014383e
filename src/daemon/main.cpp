#include "base/findings_error.h"
#include "daemon/daemon.h"
#include "platform/http_object_store.h"

#include <cxxopts.hpp>

#include <iostream>

namespace briarpoint {
namespace {

constexpr int ExitSettings = 2;
constexpr int ExitStart = 3;

cxxopts::Options makeOptions() {
  cxxopts::Options Options("briarpointd", "Layer-4 load balancer");
  Options.add_options()("config", "Settings file (TOML)",
                        cxxopts::value<std::string>())("check", "Check the settings and exit")(
      "version", "Print the version and exit")("help", "Print this help and exit");
  return Options;
}

/// Prints everything that is wrong with the settings.
int reportFindings(const findings_error &Error) {
  for (const finding &Finding : Error.findings())
    std::cerr << toString(Finding) << "\n";
  return ExitSettings;
}

std::unique_ptr<object_store> makeStore(event_base *Base, const settings &Settings) {
  http_object_store_settings Result;
  Result.Server = *Settings.Platform;
  Result.Token = Settings.PlatformToken;
  Result.Timeout = Settings.Limits.PlatformTimeout;
  Result.WatchTime = Settings.Limits.PlatformWatch;
  return std::make_unique<http_object_store>(Base, Result);
}

int serve(const std::string &File, const settings &Settings) {
  steady_time_source Clock;
  event_log Log(makeStandardErrorLogger(), Clock);
  try {
    daemon(File, Settings, Log, Clock, makeStore).run();
    return 0;
  } catch (const std::exception &Error) {
    Log.write(log_event::StartFailed, {{"reason", Error.what()}});
    return ExitStart;
  }
}

int runDaemon(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options = makeOptions();
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  if (Parsed.count("version") != 0) {
    std::cout << "briarpointd " << BRIARPOINT_VERSION << "\n";
    return 0;
  }
  if (Parsed.count("config") == 0) {
    std::cerr << "briarpointd: --config is required\n";
    return ExitSettings;
  }
  const auto File = Parsed["config"].as<std::string>();
  try {
    const settings Settings = readSettings(File);
    return Parsed.count("check") != 0 ? 0 : serve(File, Settings);
  } catch (const findings_error &Error) {
    return reportFindings(Error);
  }
}

} // namespace
} // namespace briarpoint

int main(int ArgumentCount, char **Arguments) {
  try {
    return briarpoint::runDaemon(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "briarpointd: " << Error.what() << "\n";
    return 2;
  }
}
