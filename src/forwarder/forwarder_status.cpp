#include "forwarder/forwarder_status.h"

#include "forwarder/load_sharing_log.h"

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <sstream>

namespace briarpoint {

namespace {

using labels = std::map<std::string, std::string>;

/// A metrics registry for one response. The values are plain integers elsewhere, so that counting
/// stays cheap while packets are forwarded.
class metrics_page {
public:
  void counter(const std::string &Name, const std::string &Help, const labels &Labels,
               std::uint64_t Value) {
    prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry).Add(Labels).Increment(
        static_cast<double>(Value));
  }
  void gauge(const std::string &Name, const std::string &Help, const labels &Labels, double Value) {
    prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(Labels).Set(Value);
  }
  /// Returns the page, followed by the metrics of \p Further.
  std::string text(const prometheus::Registry &Further) const {
    std::ostringstream Out;
    prometheus::TextSerializer().Serialize(Out, Registry.Collect());
    prometheus::TextSerializer().Serialize(Out, Further.Collect());
    return Out.str();
  }

private:
  prometheus::Registry Registry{prometheus::Registry::InsertBehavior::Merge};
};

void addDecisions(metrics_page &Page, const forwarder_counters &Counters) {
  for (std::size_t Action = 0; Action < Counters.Decisions.size(); ++Action)
    for (std::size_t Reason = 0; Reason < ForwardReasonCount; ++Reason)
      if (const std::uint64_t Count = Counters.Decisions[Action][Reason])
        Page.counter("briarpoint_forwarder_packets_total", "Packets of callers, by decision.",
                     {{"action", std::string(toString(static_cast<forward_action>(Action)))},
                      {"reason", std::string(toString(static_cast<forward_reason>(Reason)))}},
                     Count);
}

void addCallCounters(metrics_page &Page, const std::string &Kind, const watch_counters &Counters) {
  const std::string Name = "briarpoint_forwarder_store_calls_total";
  const std::string Help = "Calls to the store.";
  Page.counter(Name, Help, {{"kind", Kind}, {"call", "list"}}, Counters.Lists);
  Page.counter(Name, Help, {{"kind", Kind}, {"call", "stale_list"}}, Counters.StaleLists);
  Page.counter(Name, Help, {{"kind", Kind}, {"call", "watch"}}, Counters.Watches);
  Page.counter(Name, Help, {{"kind", Kind}, {"call", "stale_watch"}}, Counters.StaleWatches);
  Page.counter(Name, Help, {{"kind", Kind}, {"call", "check"}}, Counters.Checks);
  for (std::size_t Outcome = 0; Outcome < CallOutcomeCount; ++Outcome)
    Page.counter(
        "briarpoint_forwarder_store_answers_total", "Ended calls to the store.",
        {{"kind", Kind}, {"outcome", std::string(toString(static_cast<call_outcome>(Outcome)))}},
        Counters.Outcomes[Outcome]);
}

/// Time since \p At in seconds; infinite if nothing has happened yet.
double ageOf(instant At, instant Now) {
  if (At == instant{})
    return std::numeric_limits<double>::infinity();
  return std::chrono::duration<double>(Now - At).count();
}

void addRevisionMetrics(metrics_page &Page, const forwarder_status &Status) {
  const forwarder_counters &Counters = Status.Counters;
  for (std::size_t Outcome = 0; Outcome < RevisionAnswerOutcomeCount; ++Outcome)
    Page.counter(
        "briarpoint_forwarder_questions_total", "Questions to readers of the store's revision.",
        {{"outcome", std::string(toString(static_cast<revision_answer_outcome>(Outcome)))}},
        Counters.Questions[Outcome]);
  Page.counter("briarpoint_forwarder_questions_received_total", "Questions of other forwarders.",
               {{"result", "accepted"}}, Counters.AcceptedQuestions);
  Page.counter("briarpoint_forwarder_questions_received_total", "Questions of other forwarders.",
               {{"result", "dropped"}}, Counters.DroppedQuestions);
  Page.counter("briarpoint_forwarder_malformed_messages_total",
               "Datagrams on the port for messages that are no message.", {},
               Counters.MalformedPeerMessages);
  Page.counter("briarpoint_forwarder_revision_calls_total",
               "Calls to the store that read its revision.", {}, Status.OwnRevisions.calls());
  Page.counter("briarpoint_forwarder_revision_calls_failed_total",
               "Calls to the store that read its revision and failed.", {},
               Status.OwnRevisions.failures());
  Page.gauge("briarpoint_forwarder_store_era", "Highest era of the store that was seen.", {},
             static_cast<double>(Status.StoreEra));
  Page.gauge("briarpoint_forwarder_revision_age_seconds",
             "Time since the store's revision was read last.", {},
             ageOf(Status.Watchers.revisionReadAt(), Status.Now));
}

void addLoadMetrics(metrics_page &Page, const forwarder_status &Status) {
  const load_exchange_counters &Messages = Status.LoadMessages;
  const std::string Reports = "briarpoint_forwarder_load_reports_total";
  const std::string ReportsHelp = "Reports of load to readers.";
  Page.counter(Reports, ReportsHelp, {{"direction", "sent"}}, Messages.ReportsSent);
  Page.counter(Reports, ReportsHelp, {{"direction", "received"}}, Messages.ReportsReceived);
  const std::string Summaries = "briarpoint_forwarder_load_summaries_total";
  const std::string SummariesHelp = "Summaries of the load of all forwarders.";
  Page.counter(Summaries, SummariesHelp, {{"result", "made"}}, Messages.SummariesMade);
  Page.counter(Summaries, SummariesHelp, {{"result", "accepted"}}, Messages.SummariesAccepted);
  Page.counter(Summaries, SummariesHelp, {{"result", "refused"}}, Messages.SummariesRefused);
  Page.counter(Summaries, SummariesHelp, {{"result", "outdated"}}, Messages.SummariesOutdated);
  Page.counter("briarpoint_forwarder_spilled_flows_total",
               "New flows assigned to another data centre because of pooled load.", {},
               Status.SpilledFlows);
  if (Status.Load == nullptr)
    return;
  Page.gauge("briarpoint_forwarder_load_summary_age_seconds", "Time since the last summary.", {},
             ageOf(Status.Load->receivedAt(), Status.Now));
  if (!Status.Load->valid(Status.Now))
    return;
  forEachService(Status.Targets, [&](const std::string &Service, std::span<target *const> Members) {
    for (const data_centre_load &Load : Status.Load->dataCentres(Members, Status.Now))
      Page.gauge("briarpoint_forwarder_pooled_requests",
                 "Requests in progress of all forwarders, while load is shared.",
                 {{"service", Service}, {"data_centre", Load.DataCentre}}, Load.InProgress);
  });
}

void addRefusals(metrics_page &Page, const forwarder_counters &Counters) {
  const std::pair<const char *, std::uint64_t> Refusals[] = {
      {"registration", Counters.RefusedRegistrations},
      {"configuration", Counters.RefusedConfigurations},
      {"route", Counters.RefusedRoutes},
      {"limits", Counters.RefusedLimits},
      {"service", Counters.RefusedServices},
      {"seed", Counters.RefusedSeeds},
      {"evacuation", Counters.RefusedEvacuations},
  };
  for (const auto &[Kind, Count] : Refusals)
    Page.counter("briarpoint_forwarder_refused_objects_total",
                 "Objects of the store, parts of them and seeds that can't be read.",
                 {{"kind", Kind}}, Count);
}

void addWatcherMetrics(metrics_page &Page, const std::string &Kind, const object_watcher &Watcher,
                       instant Now) {
  addCallCounters(Page, Kind, Watcher.counters());
  Page.gauge("briarpoint_forwarder_store_revision",
             "Revision of the store up to which changes are known.", {{"kind", Kind}},
             static_cast<double>(Watcher.revision()));
  Page.gauge("briarpoint_forwarder_store_answer_age_seconds", "Time since the store's last answer.",
             {{"kind", Kind}}, ageOf(Watcher.lastAnswerAt(), Now));
  Page.gauge("briarpoint_forwarder_view_age_seconds",
             "Time since the state of the store that is known to be complete.", {{"kind", Kind}},
             ageOf(Watcher.upToDateAt(), Now));
}

void addWarmUpMetrics(metrics_page &Page, const forwarder_status &Status) {
  std::size_t Cold = 0;
  Status.Targets.forEach([&](const target &Target) {
    Cold += Target.acceptsFlows(Status.Now) && Status.Now < Target.WarmUpEndsAt ? 1U : 0U;
  });
  Page.gauge("briarpoint_forwarder_cold_targets", "Targets that accept flows and are warming up.",
             {}, static_cast<double>(Cold));
  Page.counter("briarpoint_forwarder_warm_up_granted_total",
               "Flows assigned to targets whose new flows are limited.", {},
               Status.WarmUp.granted());
  Page.counter("briarpoint_forwarder_warm_up_refused_total",
               "Choices that left out a target whose new flows are limited.", {},
               Status.WarmUp.refused());
}

void addAdmissionMetrics(metrics_page &Page, const forwarder_status &Status) {
  for (const admission_status &Service : Status.Admission.status(Status.Now)) {
    Page.gauge("briarpoint_forwarder_admission_level", "Admitted share of new flows, by service.",
               {{"service", Service.Service}}, Service.Level);
    for (const auto &[Priority, Count] : Service.Rejected)
      Page.counter("briarpoint_forwarder_rejected_flows_total",
                   "New flows rejected for want of room, by service and priority.",
                   {{"service", Service.Service}, {"priority", std::to_string(Priority)}}, Count);
  }
}

void addTargetStates(metrics_page &Page, const forwarder_status &Status) {
  std::size_t Dead = 0;
  std::size_t Failing = 0;
  Status.Targets.forEach([&](const target &Target) {
    Dead += Target.foundDead(Status.Now) ? 1U : 0U;
    Failing += Target.failing(Status.Now) ? 1U : 0U;
  });
  Page.gauge("briarpoint_forwarder_dead_targets", "Targets that answer no forwarder's callers.", {},
             static_cast<double>(Dead));
  Page.gauge("briarpoint_forwarder_failing_targets",
             "Targets that fail on many more requests than others.", {},
             static_cast<double>(Failing));
  Page.counter("briarpoint_forwarder_dead_flows_reset_total",
               "Flows that were reset because their target was found dead.", {},
               Status.Counters.Decisions.at(static_cast<std::size_t>(forward_action::Reset))
                   .at(static_cast<std::size_t>(forward_reason::TargetDead)));
}

nlohmann::json describeTarget(const target &Target, instant Now) {
  const target_registration &Registration = Target.Registration;
  return {{"name", Registration.Name},
          {"service", Registration.Service},
          {"address", toString(Registration.Address)},
          {"data_centre", Registration.DataCentre},
          {"slots", Registration.Slots},
          {"draining", Target.draining(Now)},
          {"evacuated", Target.Evacuated},
          {"removed", Target.removed()},
          {"gone", Target.gone(Now)},
          {"suspected", Target.Health.suspected(Now)},
          {"reported", Target.reported(Now)},
          {"cold", Now < Target.WarmUpEndsAt},
          {"dead", Target.foundDead(Now)},
          {"failing", Target.failing(Now)},
          {"owns_token", Target.OwnsToken},
          {"token", static_cast<std::uint32_t>(Target.Token)},
          {"open_flows", Target.OpenFlows},
          {"revision", Registration.Revision}};
}

} // namespace

std::string metricsText(const forwarder_status &Status) {
  metrics_page Page;
  const forwarder_counters &Counters = Status.Counters;
  addDecisions(Page, Counters);
  Page.counter("briarpoint_forwarder_received_total", "Datagrams received.", {}, Counters.Received);
  Page.counter("briarpoint_forwarder_sent_total", "Datagrams sent.", {}, Counters.Sent);
  Page.counter("briarpoint_forwarder_malformed_total", "Datagrams that are no caller's packet.", {},
               Counters.Malformed);
  addRefusals(Page, Counters);
  Page.counter("briarpoint_forwarder_log_lines_left_out_total",
               "Log lines over the rate, or unread.", {},
               Status.SuppressedLogLines + Status.DroppedLogLines);
  addWatcherMetrics(Page, "registration", Status.RegistrationWatcher, Status.Now);
  addWatcherMetrics(Page, "configuration", Status.ConfigurationWatcher, Status.Now);
  if (Status.EvacuationWatcher != nullptr)
    addWatcherMetrics(Page, "evacuation", *Status.EvacuationWatcher, Status.Now);
  for (const std::string &DataCentre : Status.Evacuations.evacuated())
    Page.gauge("briarpoint_forwarder_evacuated_data_centres",
               "1 for each data centre whose targets get no new flows.",
               {{"data_centre", DataCentre}}, 1);
  addRevisionMetrics(Page, Status);
  addLoadMetrics(Page, Status);
  Page.gauge("briarpoint_forwarder_ready", "1 if callers' packets are forwarded.", {},
             Status.Ready ? 1 : 0);
  Page.gauge("briarpoint_forwarder_flows", "Flows that are followed.", {},
             static_cast<double>(Status.Flows));
  Page.gauge("briarpoint_forwarder_version", "Version of the configuration in force.", {},
             static_cast<double>(Status.Routes.version()));
  std::size_t Reported = 0;
  Status.Targets.forEach(
      [&](const target &Target) { Reported += Target.reported(Status.Now) ? 1U : 0U; });
  Page.gauge("briarpoint_forwarder_reported_targets", "Targets that other forwarders suspect.", {},
             static_cast<double>(Reported));
  addWarmUpMetrics(Page, Status);
  addAdmissionMetrics(Page, Status);
  addTargetStates(Page, Status);
  Status.Targets.forEach([&](const target &Target) {
    Page.gauge("briarpoint_forwarder_target_flows", "Open flows, by target.",
               {{"service", Target.Registration.Service}, {"target", Target.Registration.Name}},
               Target.OpenFlows);
  });
  return Page.text(Status.Latency.registry());
}

std::string stateText(const forwarder_status &Status) {
  nlohmann::json Targets = nlohmann::json::array();
  Status.Targets.forEach(
      [&](const target &Target) { Targets.push_back(describeTarget(Target, Status.Now)); });
  nlohmann::json State{
      {"name", Status.Settings.Name},
      {"data_centre", Status.Settings.DataCentre},
      {"ready", Status.Ready},
      {"version", Status.Routes.version()},
      {"routes", Status.Routes.size()},
      {"flows", Status.Flows},
      {"registration_revision", Status.RegistrationWatcher.revision()},
      {"configuration_revision", Status.ConfigurationWatcher.revision()},
      {"store_era", Status.StoreEra},
      {"store_revision", Status.Watchers.storeRevision()},
      {"store_revision_age_s", ageOf(Status.Watchers.revisionReadAt(), Status.Now)},
      {"evacuations", Status.Evacuations.evacuated()},
      {"targets", std::move(Targets)},
  };
  if (Status.EvacuationWatcher != nullptr)
    State["evacuation_revision"] = Status.EvacuationWatcher->revision();
  // Names of entries that other programs write may have any bytes.
  return State.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace briarpoint
