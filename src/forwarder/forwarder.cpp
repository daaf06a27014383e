#include "forwarder/forwarder.h"

#include "base/findings_error.h"
#include "base/seeded_random.h"
#include "forwarder/evacuation_listener.h"
#include "forwarder/forwarder_status.h"
#include "forwarder/load_sharing_log.h"
#include "forwarder/loop_scheduler.h"
#include "forwarder/message_socket.h"
#include "forwarder/packet_socket.h"
#include "forwarder/registration_listener.h"
#include "forwarder/revision_exchange_log.h"
#include "forwarder/route_listener.h"
#include "forwarder/start_gate.h"
#include "forwarder/store_call_log.h"
#include "forwarder/store_recovery.h"
#include "forwarder/watch_settings.h"
#include "io/http_get_server.h"
#include "store/store_revision_reader.h"

#include <algorithm>
#include <csignal>
#include <optional>
#include <random>
#include <utility>

namespace briarpoint {

namespace {

/// Interval at which flows whose target no longer answers are reset.
constexpr duration FlowSweepInterval = std::chrono::milliseconds(250);
/// Maximum time for which packets that arrive before the targets are known stay in the socket's
/// buffer. Callers have repeated older packets by then, so these are dropped.
constexpr duration MaxStartupWait = std::chrono::seconds(1);
/// Maximum time at the start for which the targets are requested alone. They are needed first, and
/// when many balancers start at once, all answers share the store's link.
constexpr duration MaxConfigurationDelay = std::chrono::milliseconds(200);
/// A stopping balancer that has received no packet for this long is no longer in use. Routers
/// request the readiness every 500 ms and stop sending after two refusals.
constexpr duration NoTrafficTimeout = std::chrono::milliseconds(1200);
/// Part of the shutdown time reserved for the exit of the process after the event loop has stopped.
constexpr duration ShutdownReserve = std::chrono::milliseconds(500);
/// Interval at which the settings file is compared with the text read last. The file may change
/// without a signal.
constexpr duration SettingsPollInterval = std::chrono::seconds(10);

std::uint64_t randomSeed() {
  std::random_device Device;
  return static_cast<std::uint64_t>(Device()) << 32U | Device();
}

target_registry_settings registrySettings(const forwarder_settings &Settings) {
  target_registry_settings Result;
  Result.DataCentre = Settings.DataCentre;
  Result.FlowLifetime = Settings.FlowLifetime;
  return Result;
}

packet_forwarder_settings packetSettings(const forwarder_settings &Settings) {
  packet_forwarder_settings Result;
  Result.MaxFlows = Settings.MaxFlows;
  Result.MaxEvacuationAge = maxEvacuationAge(Settings);
  return Result;
}

/// Returns the address under which the seeds name this instance. Without an endpoint for messages
/// it is assumed to be that of the packets.
const ip_address &ownAddress(const forwarder_settings &Settings) {
  return (Settings.Peers.Port != 0 ? Settings.Peers : Settings.Packets).Address;
}

std::vector<ip_address> seedAddresses(const forwarder_settings &Settings) {
  std::vector<ip_address> Result;
  for (const endpoint &Seed : Settings.Seeds)
    Result.push_back(Seed.Address);
  return Result;
}

/// Returns the endpoints of the readers of the store's revision.
std::vector<endpoint> readersOf(const forwarder_settings &Settings) {
  std::vector<endpoint> Result;
  if (Settings.Peers.Port != 0)
    for (const endpoint &Seed : Settings.Seeds)
      Result.push_back({Seed.Address, Settings.Peers.Port});
  return Result;
}

revision_exchange_settings revisionExchangeSettings(const forwarder_settings &Settings) {
  revision_exchange_settings Result;
  Result.Local = Settings.Peers;
  Result.Region = Settings.Region;
  Result.AnswerTimeout = revisionTimes(Settings).AnswerTimeout;
  Result.Readers = readersOf(Settings);
  return Result;
}

http_response textResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(Body)};
}

} // namespace

/// Everything that run() uses, in the order of construction.
struct forwarder::parts {
  forwarder_settings Settings;
  /// Name of the settings file.
  std::string SettingsSource;
  /// Text of the settings file when it was read last.
  std::string SettingsText;
  event_loop &Loop;
  const forwarder_platform &Platform;
  event_log &Log;
  time_source &Clock;
  const std::uint64_t &DroppedLogLines;

  seeded_random Random;
  forwarder_counters Counters;
  flow_latency Latency;
  route_table Routes;
  target_registry Targets;
  evacuation_table Evacuations;
  warm_up_limiter WarmUp;
  packet_forwarder Packets;
  forwarder_log DecisionLog;
  packet_socket Socket;
  registration_listener Registrations;
  route_listener Configuration;
  evacuation_listener EvacuationChanges;
  store_call_log RegistrationCalls;
  store_call_log ConfigurationCalls;
  store_call_log EvacuationCalls;
  loop_scheduler StartScheduler;
  loop_scheduler RevisionScheduler;
  loop_scheduler GroupScheduler;
  loop_scheduler RevisionExchangeScheduler;
  store_era StoreEra;
  store_recovery StoreRecovery;
  store_revision_reader OwnRevisions;
  message_socket MessageSocket;
  revision_exchange_log RevisionLog;
  revision_exchange RevisionExchange;
  suspicion_tracker SuspicionTracker;
  suspicion_exchange SuspicionExchange;
  pooled_load PooledLoad;
  load_exchange LoadExchange;
  load_sharing_log LoadLog;
  admission_control Admission;
  dead_target_exchange DeadTargetExchange;
  target_state_tracker TargetStates;
  watch_group Watchers;
  loop_scheduler RegistrationScheduler;
  loop_scheduler ConfigurationScheduler;
  loop_scheduler EvacuationScheduler;
  object_watcher RegistrationWatcher;
  object_watcher ConfigurationWatcher;
  /// Empty if evacuations aren't watched.
  std::optional<object_watcher> EvacuationWatcher;
  http_get_server ReadinessServer;
  http_get_server OperatorServer;
  start_gate StartGate;
  bool ConfigurationStarted = false;
  /// Packets are being read. Before that, they stay in the socket's buffer.
  bool Receiving = false;
  instant StartedAt{};
  /// Never until the graceful stop begins.
  instant StopBeganAt = Never;

  parts(const forwarder_settings &AllSettings, event_loop &Loop, const forwarder_platform &Platform,
        event_log &Log, time_source &Clock, const std::uint64_t &DroppedLogLines)
      : Settings(AllSettings), Loop(Loop), Platform(Platform), Log(Log), Clock(Clock),
        DroppedLogLines(DroppedLogLines), Random(randomSeed()),
        Routes(AllSettings.FlowLifetime, AllSettings.ConfigurationTime),
        Targets(registrySettings(AllSettings)),
        WarmUp(AllSettings.WarmUp, Routes, ownAddress(AllSettings), Clock.now()),
        Packets(packetSettings(AllSettings), Routes, Targets, Random, Latency,
                {AllSettings.EvacuationTime == duration::zero() ? nullptr : &Evacuations, &WarmUp}),
        DecisionLog(Log, Routes),
        Socket(AllSettings.Packets, Platform.Packets, Packets, Clock, DecisionLog, Counters),
        Registrations(Platform.Objects, Targets, Packets, Clock, Log, Counters,
                      [this] {
                        startConfigurationWatcher();
                        receiveWhenReady();
                      }),
        Configuration(Platform.Objects, Routes, Targets, Clock, Log, Counters,
                      [this] { receiveWhenReady(); }),
        EvacuationChanges(Platform.Objects, Evacuations, Targets, Clock, Log, Counters),
        RegistrationCalls(Platform.Objects.registrationKind(), Log, Clock),
        ConfigurationCalls(Platform.Objects.configurationKind(), Log, Clock),
        EvacuationCalls(Platform.Objects.evacuationKind(), Log, Clock), StartScheduler(Loop, Clock),
        RevisionScheduler(Loop, Clock), GroupScheduler(Loop, Clock),
        RevisionExchangeScheduler(Loop, Clock),
        StoreRecovery(configurationWatchSettings(AllSettings).RecoveryTime, StoreEra, Clock, Log),
        OwnRevisions(Platform.Objects.configurationKind(),
                     revisionTimes(AllSettings).MinCallInterval, Platform.RevisionApi, StoreEra,
                     RevisionScheduler),
        MessageSocket(AllSettings.Peers, Log, Counters), RevisionLog(Log, Counters),
        RevisionExchange(revisionExchangeSettings(AllSettings), OwnRevisions, StoreEra,
                         MessageSocket, RevisionLog, RevisionExchangeScheduler, Random),
        SuspicionExchange(AllSettings.Peers, Targets, MessageSocket),
        PooledLoad(Targets, Packets.loadMeter()),
        LoadExchange(AllSettings.Peers, Targets, Packets.loadMeter(), PooledLoad, MessageSocket,
                     Random),
        LoadLog(Log, Targets, LoadExchange, PooledLoad), Admission({}, Routes, PooledLoad, Random),
        DeadTargetExchange(AllSettings.Peers, AllSettings.ContactTime, Targets, SuspicionExchange,
                           MessageSocket),
        Watchers(revisionTimes(AllSettings).Interval, RevisionExchange, StoreEra, GroupScheduler,
                 Random),
        RegistrationScheduler(Loop, Clock), ConfigurationScheduler(Loop, Clock),
        EvacuationScheduler(Loop, Clock),
        RegistrationWatcher(Platform.Objects.registrationKind(),
                            registrationWatchSettings(AllSettings), Platform.RegistrationApi,
                            Registrations, RegistrationCalls, Watchers, RegistrationScheduler,
                            Random),
        ConfigurationWatcher(Platform.Objects.configurationKind(),
                             configurationWatchSettings(AllSettings), Platform.ConfigurationApi,
                             Configuration, ConfigurationCalls, Watchers, ConfigurationScheduler,
                             Random),
        ReadinessServer(Loop, AllSettings.Readiness,
                        [this](const std::string &Path) { return answerReadiness(Path); }),
        OperatorServer(Loop, AllSettings.Operator,
                       [this](const std::string &Path) { return answerOperator(Path); }) {
    if (AllSettings.EvacuationTime != duration::zero())
      EvacuationWatcher.emplace(Platform.Objects.evacuationKind(),
                                evacuationWatchSettings(AllSettings), Platform.EvacuationApi,
                                EvacuationChanges, EvacuationCalls, Watchers, EvacuationScheduler,
                                Random);
    WarmUp.setSeeds(seedAddresses(AllSettings), Clock.now());
  }

  bool stopping() const { return StopBeganAt != Never; }
  /// Whether routers should use this balancer.
  bool ready() const {
    const instant Now = Clock.now();
    return Packets.ready() && !stopping() && Now >= Registrations.assumedCompleteAt() &&
           StartGate.isOpen(ConfigurationWatcher.upToDateAt(), RegistrationWatcher.upToDateAt(),
                            EvacuationWatcher ? EvacuationWatcher->upToDateAt() : Never, Now);
  }
  forwarder_status status();
  http_response answerReadiness(const std::string &Path) const;
  http_response answerOperator(const std::string &Path);
  void stop();
  void sweep();
  void startConfigurationWatcher();
  void shareSuspicions();
  void shareLoad();
  /// Lets the admission of new flows follow the latest summary of the load.
  void applySummary();
  void receiveMessages();
  /// Resets flows of targets that were found dead since the previous call.
  void resetDeadFlows();
  void receiveWhenReady();
  void receive();
  /// Passes on how current the routes, targets and evacuations are.
  void updateCurrency();
  /// Reads the store's revision if flows wait for proof that these are current.
  void requestProof();
  void reload(const read_function &Read);
  void reportRefusedSeeds(const std::vector<finding> &Refused);
};

forwarder_status forwarder::parts::status() {
  return {Settings,
          Counters,
          Latency,
          Routes,
          Targets,
          WarmUp,
          Admission,
          RegistrationWatcher,
          ConfigurationWatcher,
          Evacuations,
          EvacuationWatcher ? &*EvacuationWatcher : nullptr,
          Watchers,
          OwnRevisions,
          StoreEra.current(),
          Packets.trackedFlows(),
          ready(),
          Log.suppressedLines(),
          DroppedLogLines,
          Clock.now(),
          &PooledLoad,
          LoadExchange.counters(),
          Packets.spilledFlows()};
}

http_response forwarder::parts::answerReadiness(const std::string &Path) const {
  if (Path != Platform.ReadinessPath)
    return textResponse(404, "");
  return textResponse(ready() ? 200 : 503, "");
}

http_response forwarder::parts::answerOperator(const std::string &Path) {
  if (Path == "/metrics")
    return textResponse(200, metricsText(status()));
  if (Path == "/state")
    return {200, {{"Content-Type", "application/json"}}, stateText(status())};
  return textResponse(404, "");
}

void forwarder::parts::stop() {
  if (stopping())
    return;
  StopBeganAt = Clock.now();
  Log.write(log_event::StopBegan, {{"flows", std::to_string(Packets.trackedFlows())}});
}

void forwarder::parts::startConfigurationWatcher() {
  if (!std::exchange(ConfigurationStarted, true))
    ConfigurationWatcher.start();
}

void forwarder::parts::receiveWhenReady() {
  if (Packets.ready()) {
    StartGate.onLoaded(Clock.now());
    Socket.handlePostponed();
  }
  if (Receiving || !(Packets.forwardsOpenFlows() || Clock.now() >= StartedAt + MaxStartupWait))
    return;
  Receiving = true;
  Log.write(log_event::ReceivingBegan, {{"ready", Packets.ready() ? "yes" : "no"},
                                        {"version", std::to_string(Routes.version())},
                                        {"targets", std::to_string(Targets.size())}});
  Loop.onReadable(Socket.descriptor(), [this] { receive(); });
}

void forwarder::parts::receive() {
  updateCurrency();
  Socket.receive();
  // Another balancer has assigned a flow to a target that is unknown here. The target's
  // registration may be delayed on a connection that has gone silent.
  if (Socket.consumeUnknownTokenFlag())
    RegistrationWatcher.refresh();
  requestProof();
  DeadTargetExchange.confirmAnswers(Clock.now());
}

void forwarder::parts::updateCurrency() {
  Packets.setTargetsCurrentAt(RegistrationWatcher.upToDateAt());
  Routes.setCurrentAt(ConfigurationWatcher.upToDateAt());
  if (!EvacuationWatcher)
    return;
  Evacuations.setCurrentAt(EvacuationWatcher->upToDateAt());
  EvacuationChanges.update(RegistrationWatcher.upToDateAt());
  // A read of the revision fails seconds before a watch that waits on a silent connection. In the
  // recovery time of the store, nothing can be proven.
  Evacuations.setContactLost(EvacuationChanges.contactLost() || Watchers.readFailed() ||
                             StoreRecovery.inProgress());
}

void forwarder::parts::requestProof() {
  const instant NeededAfter =
      std::max(Packets.proofNeededAfter(), EvacuationChanges.withdrawalPendingSince());
  if (NeededAfter >= Watchers.revisionRequestedAt())
    Watchers.readRevision();
}

void forwarder::parts::shareSuspicions() {
  const instant Now = Clock.now();
  const suspicion_changes Changes = SuspicionTracker.update(Targets, Now);
  DecisionLog.logSuspicionChanges(Changes, Now);
  DecisionLog.logStateChanges(TargetStates.update(Targets, Now), Now);
  if (!MessageSocket.isOpen())
    return;
  std::vector<std::uint64_t> Numbers;
  for (const target *Target : Changes.Began)
    Numbers.push_back(Target->Registration.Number);
  const endpoint *Reader = RevisionExchange.poolingReader();
  const bool IsReader = RevisionExchange.isLocalReader();
  if (!Numbers.empty()) {
    SuspicionExchange.report(Numbers, Reader, Now);
    // Forwarders whose first reader doesn't answer turn to this one.
    if (IsReader && Reader != nullptr)
      SuspicionExchange.report(Numbers, nullptr, Now);
  }
  SuspicionExchange.notify(Now);
  DeadTargetExchange.sweep(Reader, IsReader, Now);
  resetDeadFlows();
}

void forwarder::parts::receiveMessages() {
  MessageSocket.receive({RevisionExchange, SuspicionExchange, DeadTargetExchange, LoadExchange},
                        Clock.now());
  applySummary();
  resetDeadFlows();
}

void forwarder::parts::resetDeadFlows() {
  // Callers of idle flows may send at any moment, so this doesn't wait for the next sweep.
  if (!DeadTargetExchange.consumeFoundFlag())
    return;
  const instant Now = Clock.now();
  DecisionLog.logStateChanges(TargetStates.update(Targets, Now), Now);
  updateCurrency();
  Socket.sweep();
  requestProof();
}

void forwarder::parts::shareLoad() {
  if (!MessageSocket.isOpen() || Settings.Seeds.empty())
    return;
  const instant Now = Clock.now();
  Packets.measureLoad(Now);
  LoadExchange.update(RevisionExchange.poolingReader(), RevisionExchange.isLocalReader(), Now);
  // A reader makes summaries itself.
  applySummary();
  LoadLog.update(Now);
}

void forwarder::parts::applySummary() {
  const instant Now = Clock.now();
  if (PooledLoad.valid(Now))
    Admission.onSummary(PooledLoad.round(), Now);
}

void forwarder::parts::sweep() {
  updateCurrency();
  Socket.sweep();
  requestProof();
  shareSuspicions();
  shareLoad();
  WarmUp.expire(Clock.now());
  DecisionLog.logWarmUpShares(WarmUp.shares());
  DecisionLog.logAdmission(Admission.status(Clock.now()));
  // Proofs from the recovery time don't count.
  if (StoreRecovery.endIfDue())
    Watchers.readRevision();
  receiveWhenReady();
  if (!stopping())
    return;
  // Routers continue to send until they have noticed that the balancer isn't ready.
  const instant Now = Clock.now();
  const instant LastUse = std::max(StopBeganAt, Socket.lastPacketAt());
  if (Now >= LastUse + NoTrafficTimeout ||
      Now >= StopBeganAt + Settings.ShutdownTime - ShutdownReserve)
    Loop.stop();
}

void forwarder::parts::reload(const read_function &Read) {
  try {
    std::string Text = Read();
    if (Text == SettingsText)
      return;
    SettingsText = std::move(Text);
    const forwarder_settings New = parseForwarderSettings(SettingsText, SettingsSource);
    Log.setLevel(New.LogLevel);
    Settings.LogLevel = New.LogLevel;
    Settings.ShutdownTime = New.ShutdownTime;
    if (New.Store != Settings.Store)
      Platform.SetStoreAddress(New.Store);
    Settings.Store = New.Store;
    if (New.Seeds != Settings.Seeds) {
      Settings.Seeds = New.Seeds;
      RevisionExchange.setReaders(readersOf(Settings));
      WarmUp.setSeeds(seedAddresses(Settings), Clock.now());
    }
    Log.write(log_event::SettingsReloaded, {{"file", SettingsSource}});
    reportRefusedSeeds(New.RefusedSeeds);
    // Settings that need a restart keep their old values.
    for (const std::string &Name : differingSettings(Settings, New))
      Log.write(log_event::RestartNeeded, {{"finding", Name}});
  } catch (const findings_error &Error) {
    for (const finding &Finding : Error.findings())
      Log.write(log_event::SettingsRejected, {{"finding", toString(Finding)}});
  } catch (const std::exception &Error) {
    Log.write(log_event::SettingsRejected, {{"finding", Error.what()}});
  }
}

void forwarder::parts::reportRefusedSeeds(const std::vector<finding> &Refused) {
  for (const finding &Finding : Refused) {
    ++Counters.RefusedSeeds;
    Log.write(log_event::SeedRefused, {{"finding", toString(Finding)}});
  }
}

forwarder::forwarder(const forwarder_settings &Settings, event_loop &Loop,
                     const forwarder_platform &Platform, event_log &Log, time_source &Clock,
                     const std::uint64_t &DroppedLogLines)
    : Parts(std::make_unique<parts>(Settings, Loop, Platform, Log, Clock, DroppedLogLines)) {}

forwarder::~forwarder() = default;

void forwarder::run(const std::string &SettingsFile, const read_function &Read) {
  parts &All = *Parts;
  All.SettingsSource = SettingsFile;
  All.SettingsText = Read();
  All.Log.write(log_event::ProcessStarted, {{"name", All.Settings.Name},
                                            {"data_centre", All.Settings.DataCentre},
                                            {"packets", toString(All.Settings.Packets)},
                                            {"store", toString(All.Settings.Store)}});
  All.reportRefusedSeeds(All.Settings.RefusedSeeds);
  for (const int Signal : {SIGTERM, SIGINT})
    All.Loop.onSignal(Signal, [&All] { All.stop(); });
  All.Loop.onSignal(SIGHUP, [&All, &Read] { All.reload(Read); });
  All.Loop.onInterval(SettingsPollInterval, [&All, &Read] { All.reload(Read); });
  All.StartedAt = All.Clock.now();
  All.Loop.onInterval(FlowSweepInterval, [&All] { All.sweep(); });
  if (All.MessageSocket.isOpen()) {
    All.Packets.setPooledLoad(&All.PooledLoad);
    All.Packets.setAdmission(&All.Admission);
    All.Loop.onReadable(All.MessageSocket.descriptor(), [&All] { All.receiveMessages(); });
  }
  All.RegistrationWatcher.start();
  if (All.EvacuationWatcher)
    All.EvacuationWatcher->start();
  All.StartScheduler.runAt(All.StartedAt + MaxConfigurationDelay,
                           [&All] { All.startConfigurationWatcher(); });
  All.Loop.run();
  All.Log.write(log_event::ProcessEnded, {{"received", std::to_string(All.Counters.Received)},
                                          {"sent", std::to_string(All.Counters.Sent)}});
}

} // namespace briarpoint
