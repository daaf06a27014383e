#include "daemon/daemon.h"

#include "base/findings_error.h"
#include "base/seeded_random.h"
#include "config/config_text.h"
#include "core/sync/memory_object_store.h"
#include "daemon/control_task.h"
#include "daemon/packet_task.h"
#include "io/read_file.h"

#include <csignal>
#include <random>
#include <thread>

namespace briarpoint {

namespace {

/// Interval at which the store in memory answers its calls.
constexpr duration MemoryStoreInterval = std::chrono::milliseconds(20);

/// Wall clock in milliseconds, because the incarnations and message sequences of one name must rise
/// across restarts too.
std::uint64_t newIncarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::uint64_t randomSeed() {
  std::random_device Device;
  return static_cast<std::uint64_t>(Device()) << 32U | Device();
}

packet_task_settings packetSettings(const settings &Settings) {
  packet_task_settings Result;
  Result.Self = makeMemberId(Settings.Name);
  Result.Data = Settings.Data;
  Result.Fabric = Settings.Fabric;
  Result.OuterSources = Settings.OuterSources;
  Result.DataPlane = Settings.DataPlane;
  return Result;
}

/// Returns a patch that adds all services of a configuration to the empty one.
patch initialPatch(const configuration &Configuration) {
  patch Patch;
  Patch.Id = "initial";
  for (const service_config &Service : Configuration.Services)
    Patch.Operations.emplace_back(put_service{Service});
  return Patch;
}

/// Thread that runs a packet task. The destructor ends the task and joins the thread.
class packet_thread {
public:
  packet_thread(packet_task &Task, packet_commands &Commands)
      : Commands(Commands), Thread([&Task] { Task.run(); }) {}
  ~packet_thread() {
    // push() fails while the mailbox is full; the packet task empties it.
    while (!Commands.push(end_task{}))
      std::this_thread::yield();
    Thread.join();
  }
  packet_thread(const packet_thread &) = delete;
  packet_thread &operator=(const packet_thread &) = delete;

private:
  packet_commands &Commands;
  std::thread Thread;
};

} // namespace

settings readSettings(const std::string &File) { return parseSettings(readFile(File), File); }

/// Objects of a running daemon, in the order of construction.
struct daemon::components {
  components(const settings &Settings, event_log &Log, time_source &Clock,
             const store_factory &MakeStore)
      : Random(randomSeed()), PacketRandom(randomSeed()), Store(makeStore(Settings, MakeStore)),
        Packets(packetSettings(Settings), Clock, PacketRandom, Commands, Reports),
        Control(Settings, newIncarnation(), {Loop, Clock, Random, *Store, Log, Commands, Reports}) {
  }

  std::unique_ptr<object_store> makeStore(const settings &Settings,
                                          const store_factory &MakeStore) {
    if (Settings.Platform)
      return MakeStore(Loop.base(), Settings);
    auto Result = std::make_unique<memory_object_store>();
    Memory = Result.get();
    return Result;
  }

  event_loop Loop;
  seeded_random Random;
  seeded_random PacketRandom;
  packet_commands Commands;
  packet_reports Reports;
  /// Set if the store is in memory.
  memory_object_store *Memory = nullptr;
  std::unique_ptr<object_store> Store;
  packet_task Packets;
  control_task Control;
  bool Stopping = false;
};

daemon::daemon(std::string File, settings AllSettings, event_log &Log, time_source &Clock,
               store_factory MakeStore)
    : File(std::move(File)), Settings(std::move(AllSettings)), Log(Log), Clock(Clock),
      MakeStore(std::move(MakeStore)) {}

void daemon::run() {
  Log.setLevel(Settings.LogLevel);
  components Components(Settings, Log, Clock, MakeStore);
  std::optional<patch> Initial;
  if (!Settings.Platform)
    Initial = initialPatch(
        parseConfigurationText(readFile(Settings.ConfigurationFile), Settings.ConfigurationFile));

  for (const int Signal : {SIGTERM, SIGINT})
    Components.Loop.onSignal(Signal, [&] { stop(Components); });
  Components.Loop.onSignal(SIGHUP, [&] { reload(Components); });
  Components.Control.onLeave([&] { stop(Components); });
  if (Components.Memory != nullptr)
    Components.Loop.onInterval(MemoryStoreInterval, [&] { Components.Memory->run(Clock.now()); });

  const packet_thread Thread(Components.Packets, Components.Commands);
  Components.Control.start();
  if (Initial)
    Components.Control.submitPatch(*Initial, [](const patch_outcome &) {});
  Log.write(log_event::ProcessStarted, {{"name", Settings.Name},
                                        {"data", toString(Settings.Data)},
                                        {"control", toString(Settings.Control)},
                                        {"operator", toString(Settings.Operator)}});
  Components.Loop.run();
  Log.write(log_event::ProcessEnded);
}

void daemon::stop(components &Components) {
  if (std::exchange(Components.Stopping, true)) {
    Components.Loop.stop();
    return;
  }
  Components.Control.beginStop([&Components] { Components.Loop.stop(); });
}

void daemon::reload(components &Components) {
  try {
    settings New = readSettings(File);
    Components.Control.applySettings(New, newIncarnation());
    Log.write(log_event::SettingsReloaded, {{"file", File}});
    for (const finding &Finding : findChangesRequiringRestart(Settings, New, File))
      Log.write(log_event::RestartNeeded, {{"finding", toString(Finding)}});
    // Settings that need a restart keep their old value, so that the next reload reports them
    // again.
    Settings.Limits = New.Limits;
    Settings.LogLevel = New.LogLevel;
  } catch (const findings_error &Error) {
    for (const finding &Finding : Error.findings())
      Log.write(log_event::SettingsRejected, {{"finding", toString(Finding)}});
  } catch (const std::exception &Error) {
    Log.write(log_event::SettingsRejected, {{"finding", Error.what()}});
  }
}

} // namespace briarpoint
