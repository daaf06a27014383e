#include "daemon/control_task.h"

#include "base/findings_error.h"
#include "config/config_json.h"
#include "core/sync/config_head.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace briarpoint {

namespace {

/// The control plane needs a tick at least every 100 ms.
constexpr duration TickInterval = std::chrono::milliseconds(50);

/// Configurations kept for GET /v1/config/VERSION. A configuration of the largest supported size
/// takes about 2 MB, and the process may use 32 MB in total.
constexpr std::size_t MaxRecentConfigurations = 4;

std::vector<std::string> keysOf(const settings &Settings) {
  std::vector<std::string> Keys{Settings.Key.reveal()};
  if (Settings.PreviousKey)
    Keys.push_back(Settings.PreviousKey->reveal());
  return Keys;
}

authenticator_settings authenticatorOf(const settings &Settings, std::uint64_t Incarnation) {
  authenticator_settings Result;
  Result.Fabric = Settings.FabricName;
  Result.Keys = keysOf(Settings);
  Result.Sender = makeMemberId(Settings.Name);
  Result.Incarnation = Incarnation;
  return Result;
}

control_plane_settings planeOf(const settings &Settings, std::uint64_t Incarnation) {
  control_plane_settings Result = Settings.ControlPlane;
  Result.Self.Incarnation = Incarnation;
  return Result;
}

http_limits operatorLimits(const settings_limits &Settings) {
  http_limits Limits;
  Limits.MaxBodySize = Settings.OperatorBodyBytes;
  Limits.MaxConnections = Settings.OperatorConnections;
  Limits.RequestTimeout = Settings.OperatorTimeout;
  return Limits;
}

/// A probe must be answered before the next one is due.
duration probeTimeout(const settings &Settings) { return Settings.ControlPlane.ProbeInterval; }

const char *statusText(patch_status Status) {
  switch (Status) {
  case patch_status::Accepted:
    return "accepted";
  case patch_status::Stale:
    return "stale";
  case patch_status::Invalid:
    return "invalid";
  case patch_status::Unavailable:
    return "unavailable";
  case patch_status::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

control_task::control_task(const settings &AllSettings, std::uint64_t Incarnation,
                           const control_task_context &Context)
    : Settings(AllSettings), Context(Context), ViewChangeLogger(Context.Log),
      Peers(AllSettings.Control, authenticatorOf(AllSettings, Incarnation), Counters, Context.Log),
      Prober(Context.Loop, probeTimeout(AllSettings), Counters, Context.Log),
      Exchange(Context.Loop, AllSettings.Rpc, keysOf(AllSettings), Counters, Context.Log),
      Plane(planeOf(AllSettings, Incarnation), Context.Store, Context.Random, *this),
      Operators(AllSettings.OperatorToken.reveal(), *this),
      OperatorServer(Context.Loop, AllSettings.Operator, operatorLimits(AllSettings.Limits),
                     [this](const incoming_request &Request, const http_responder &Respond) {
                       Operators.handle(Request, Respond);
                     }) {}

void control_task::start() {
  Context.Loop.onReadable(Peers.descriptor(), [this] {
    Peers.receive([this](const endpoint &From, const peer_message &Message) {
      Plane.handleMessage(From, Message, Context.Clock.now());
    });
  });
  Context.Loop.onReadable(Context.Reports.descriptor(), [this] { handleReports(); });
  Context.Loop.onInterval(TickInterval, [this] { tick(); });
  Plane.start(Context.Clock.now());
}

void control_task::tick() {
  const instant Now = Context.Clock.now();
  Plane.tick(Now);
  if (isReady() != WasReady) {
    WasReady = isReady();
    if (WasReady)
      Context.Log.write(log_event::BalancerReady,
                        {{"version", std::to_string(Plane.inForce()->Version)}});
  }
  if (!StopHandler || (!Plane.mayExit(Now) && Now < StopDeadline))
    return;
  if (!Plane.mayExit(Now))
    Context.Log.write(log_event::StopDeadlinePassed);
  std::exchange(StopHandler, nullptr)();
}

void control_task::beginStop(std::function<void()> Done) {
  if (StopDeadline != Never)
    return;
  const instant Now = Context.Clock.now();
  StopHandler = std::move(Done);
  StopDeadline = Now + Settings.ShutdownTimeout;
  Context.Log.write(log_event::StopBegan);
  Plane.leave(Now);
}

void control_task::applySettings(const settings &New, std::uint64_t Incarnation) {
  const bool KeysChanged = keysOf(New) != keysOf(Settings);
  Settings.Key = New.Key;
  Settings.PreviousKey = New.PreviousKey;
  Settings.OperatorToken = New.OperatorToken;
  Settings.ShutdownTimeout = New.ShutdownTimeout;
  Context.Log.setLevel(New.LogLevel);
  Operators.setToken(New.OperatorToken.reveal());
  OperatorServer.setLimits(operatorLimits(New.Limits));
  if (KeysChanged) {
    Peers.setAuthenticator(authenticatorOf(Settings, Incarnation));
    Exchange.setKeys(keysOf(Settings));
  }
}

void control_task::sendCommand(packet_command Command) {
  if (!Context.Commands.push(std::move(Command)))
    Context.Log.write(log_event::MailboxFull, {{"receiver", "packet_task"}});
}

void control_task::sendMessage(const endpoint &Control, const peer_message &Message) {
  Peers.send(Control, Message);
}

void control_task::publishView(std::shared_ptr<const forwarding_view> New) {
  ViewChangeLogger.logChanges(*View, *New, *Plane.inForce());
  View = std::move(New);
  addRecentConfiguration();
  sendCommand(apply_view{View});
}

void control_task::addRecentConfiguration() {
  const std::shared_ptr<const configuration> InForce = Plane.inForce();
  if (!RecentConfigurations.emplace(InForce->Version, InForce).second)
    return;
  if (RecentConfigurations.size() > MaxRecentConfigurations)
    RecentConfigurations.erase(RecentConfigurations.begin());
  Exchange.offer(InForce);
}

void control_task::probeTarget(target_id Target, const endpoint &Health) {
  Prober.probe(Target, Health, [this](const probe_result &Result) {
    Plane.handleProbe(Result, Context.Clock.now());
  });
}

void control_task::fetchConfiguration(member_id From, const endpoint &Rpc, config_version Version) {
  Exchange.fetch(Rpc, Version, [this, From](const std::shared_ptr<const configuration> &Result) {
    if (Result)
      Plane.handleConfiguration(From, Result, Context.Clock.now());
    else
      Plane.handleFetchFailure(From, Context.Clock.now());
  });
}

void control_task::storeRecords(std::span<const flow_record> Records) {
  sendCommand(store_records{{Records.begin(), Records.end()}});
}

void control_task::resetFlows() {
  Context.Log.write(log_event::ProcessPaused);
  sendCommand(reset_flows{});
}

void control_task::handleReports() {
  for (const packet_report &Report : Context.Reports.popAll())
    handleReport(Report);
}

void control_task::handleReport(const packet_report &Report) {
  if (const auto *Observed = std::get_if<observation_report>(&Report)) {
    for (const target_observation &Observation : Observed->Observations)
      OpenFlows[Observation.Target] = Observation.OpenFlows;
    Plane.handleObservations(Observed->Observations, Context.Clock.now());
  } else if (const auto *Records = std::get_if<outgoing_records>(&Report)) {
    Plane.sendRecords(Records->To, Records->Records);
  } else if (const auto *Finished = std::get_if<transfer_finished>(&Report)) {
    Plane.sendTransferFinished(Finished->To);
  } else if (const auto *New = std::get_if<counters_report>(&Report)) {
    logRefusedPackets(LastCounters.Task, New->Task);
    LastCounters = *New;
  } else if (const auto *Dump = std::get_if<records_report>(&Report)) {
    const auto Found = PendingDumps.find(Dump->Request);
    if (Found == PendingDumps.end())
      return;
    const auto Done = std::move(Found->second);
    PendingDumps.erase(Found);
    Done(briarpoint::dumpJson(status(), sources(), Dump->Records));
  }
}

void control_task::logRefusedPackets(const packet_task_counters &Before,
                                     const packet_task_counters &After) {
  if (After.refused() == Before.refused())
    return;
  Context.Log.write(
      log_event::PacketsRefused,
      {{"malformed", std::to_string(After.Malformed - Before.Malformed)},
       {"malformed_handover", std::to_string(After.MalformedHandover - Before.MalformedHandover)},
       {"unknown_source", std::to_string(After.UnknownSource - Before.UnknownSource)},
       {"unexpected_handover",
        std::to_string(After.UnexpectedHandover - Before.UnexpectedHandover)},
       {"wrong_vni", std::to_string(After.WrongVni - Before.WrongVni)}});
}

status_sources control_task::sources() const {
  return {*Plane.inForce(),       *View,     Plane.members(),
          Plane.targetStatuses(), OpenFlows, LastCounters};
}

daemon_status control_task::status() const { return buildStatus(sources(), Plane.isReady()); }

std::string control_task::statusJson() { return toJson(status()); }

void control_task::dumpJson(std::function<void(const std::string &)> Done) {
  PendingDumps[++LastDumpRequest] = std::move(Done);
  sendCommand(request_records{LastDumpRequest});
}

std::string control_task::metricsText() {
  Counters.SuppressedLogLines = Context.Log.suppressedLines();
  Metrics.update(status(), Counters);
  return Metrics.text();
}

void control_task::submitPatch(const patch &Patch,
                               std::function<void(const patch_outcome &)> Done) {
  const auto Finish = [this, Id = Patch.Id, Done = std::move(Done)](const patch_outcome &Outcome) {
    ++Counters.Patches[statusText(Outcome.Status)];
    Context.Log.write(log_event::PatchFinished, {{"patch", Id},
                                                 {"status", statusText(Outcome.Status)},
                                                 {"version", std::to_string(Outcome.Version)}});
    Done(Outcome);
  };
  Plane.submitPatch(Patch, Context.Clock.now(), Finish);
}

void control_task::readEarlierConfiguration(
    config_version Version, std::function<void(std::shared_ptr<const configuration>)> Done) {
  const auto Found = RecentConfigurations.find(Version);
  Done(Found == RecentConfigurations.end() ? nullptr : Found->second);
}

void control_task::readHistory(std::function<void(const std::optional<std::string> &)> Done) {
  Context.Store.get(HeadKey, [Done = std::move(Done)](const object_result &Result) {
    if (Result.Status != object_status::Ok && Result.Status != object_status::NotFound) {
      Done(std::nullopt);
      return;
    }
    nlohmann::json Document = {{"version", 0}, {"history", nlohmann::json::array()}};
    try {
      if (Result.Status == object_status::Ok) {
        const config_head Head = parseConfigHead(Result.Value);
        Document["version"] = Head.Version;
        for (const accepted_patch &Patch : Head.Patches)
          Document["history"].push_back({{"id", Patch.Id}, {"version", Patch.Version}});
      }
    } catch (const findings_error &) {
      // An unreadable head is reported like an unreachable platform.
      Done(std::nullopt);
      return;
    }
    Done(Document.dump(2));
  });
}

void control_task::leave() {
  if (LeaveHandler)
    LeaveHandler();
}

void control_task::logRefusedRequest(const std::string &Path, int Status) {
  Context.Log.write(log_event::OperatorRequestRefused,
                    {{"path", Path}, {"status", std::to_string(Status)}});
}

void control_task::logWrite(const std::string &Path) {
  Context.Log.write(log_event::OperatorWrite, {{"path", Path}});
}

} // namespace briarpoint
