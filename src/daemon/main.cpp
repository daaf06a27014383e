#include "daemon/daemon.h"
#include "io/daemon_arguments.h"
#include "platform/http_object_store.h"

namespace briarpoint {
namespace {

std::unique_ptr<object_store> makeStore(event_base *Base, const settings &Settings) {
  http_object_store_settings Result;
  Result.Server = *Settings.Platform;
  Result.Token = Settings.PlatformToken;
  Result.Timeout = Settings.Limits.PlatformTimeout;
  Result.WatchTimeout = Settings.Limits.PlatformWatchTimeout;
  return std::make_unique<http_object_store>(Base, Result);
}

int serve(const std::string &File) {
  const settings Settings = readSettings(File);
  steady_time_source Clock;
  event_log Log(makeStandardErrorLogger(), Clock);
  try {
    daemon(File, Settings, Log, Clock, makeStore).run();
    return 0;
  } catch (const std::exception &Error) {
    Log.write(log_event::StartFailed, {{"reason", Error.what()}});
    return ExitStartFailed;
  }
}

} // namespace
} // namespace briarpoint

int main(int ArgumentCount, char **Arguments) {
  using namespace briarpoint;
  return runDaemonProgram({"briarpointd", "Layer-4 load balancer", BRIARPOINT_VERSION, ""},
                          ArgumentCount, Arguments, readSettings, serve);
}
