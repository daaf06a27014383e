#include "daemon/status_builder.h"

#include "config/config_json.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>

namespace briarpoint {

namespace {

/// The dump is read by people and must stay small.
constexpr std::size_t MaxDumpedRecords = 1000;

/// Number of reporters by target_health.
using report_counts = std::array<std::uint32_t, 4>;

/// Of equally frequent values, returns the last, which is the worst.
target_health mostReportedHealth(const report_counts &Counts) {
  std::size_t MostReported = 0;
  for (std::size_t I = 0; I < Counts.size(); ++I)
    if (Counts[I] > 0 && Counts[I] >= Counts[MostReported])
      MostReported = I;
  return static_cast<target_health>(MostReported);
}

std::map<target_id, report_counts> countReports(const std::vector<target_status> &Statuses) {
  std::map<target_id, report_counts> Result;
  for (const target_status &Status : Statuses)
    ++Result[Status.Target][static_cast<std::size_t>(Status.Health)];
  return Result;
}

std::string hexId(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t I = 0; I < Text.size(); ++I)
    Text[Text.size() - 1 - I] = Digits[(Value >> (4 * I)) & 15U];
  return Text;
}

const char *phaseText(flow_phase Phase) {
  switch (Phase) {
  case flow_phase::Opening:
    return "opening";
  case flow_phase::Established:
    return "established";
  case flow_phase::CallerFinished:
    return "caller_finished";
  case flow_phase::TargetFinished:
    return "target_finished";
  case flow_phase::Closed:
    break;
  }
  return "closed";
}

nlohmann::json recordJson(const flow_record &Record) {
  return {{"flow", hexId(Record.Id.High) + hexId(Record.Id.Low)},
          {"target", hexId(static_cast<std::uint64_t>(Record.Target))},
          {"service", static_cast<std::uint32_t>(Record.Service)},
          {"protocol", Record.Protocol == transport::Tcp ? "tcp" : "udp"},
          {"phase", phaseText(Record.Phase)},
          {"revision", Record.Revision},
          {"remaining_seconds", Record.RemainingSeconds}};
}

nlohmann::json viewJson(const forwarding_view &View) {
  nlohmann::json Members = nlohmann::json::array();
  for (const member_view &Member : View.members())
    Members.push_back({{"id", hexId(static_cast<std::uint64_t>(Member.Id))},
                       {"data", toString(Member.Data)},
                       {"state", toText(Member.State)},
                       {"suspected", Member.Suspected}});
  return {{"version", View.version()},
          {"all_reachable", View.allReachable()},
          {"owners_converged", View.owners() == View.nextOwners()},
          {"members", Members}};
}

} // namespace

daemon_status buildStatus(const status_sources &Sources, bool Ready) {
  daemon_status Status;
  Status.Ready = Ready;
  Status.Version = Sources.InForce.Version;
  Status.DataPlane = Sources.Counters.DataPlane;
  Status.PacketTask = Sources.Counters.Task;
  if (!Sources.Members.empty()) {
    Status.Name = Sources.Members.front().Name;
    Status.DataCentre = Sources.Members.front().DataCentre;
  }
  for (const member_info &Member : Sources.Members) {
    const member_view *const View = Sources.View.findMember(Member.Id);
    Status.Members.push_back({Member, View != nullptr && View->Suspected});
  }
  const std::map<target_id, report_counts> Counts = countReports(Sources.Statuses);
  for (const service_config &Service : Sources.InForce.Services)
    for (const target_config &Target : Service.Targets) {
      const target_id Id = makeTargetId(Service.Name, Target);
      target_summary Line;
      Line.Service = Service.Name;
      Line.Name = Target.Name;
      if (const auto Found = Counts.find(Id); Found != Counts.end())
        Line.Health = mostReportedHealth(Found->second);
      if (const target_view *const View = Sources.View.findTarget(Id)) {
        Line.Weight = View->Weight;
        Line.AcceptsNew = View->AcceptsNew;
      }
      if (const auto Found = Sources.OpenFlows.find(Id); Found != Sources.OpenFlows.end())
        Line.OpenFlows = Found->second;
      Status.Targets.push_back(std::move(Line));
    }
  return Status;
}

std::string dumpJson(const daemon_status &Status, const status_sources &Sources,
                     const std::vector<flow_record> &Records) {
  nlohmann::json Flows = nlohmann::json::array();
  for (const flow_record &Record : Records) {
    if (Flows.size() >= MaxDumpedRecords)
      break;
    Flows.push_back(recordJson(Record));
  }
  nlohmann::json Reports = nlohmann::json::array();
  for (const target_status &Report : Sources.Statuses)
    Reports.push_back({{"target", hexId(static_cast<std::uint64_t>(Report.Target))},
                       {"reporter", hexId(static_cast<std::uint64_t>(Report.Reporter))},
                       {"sequence", Report.Sequence},
                       {"health", toText(Report.Health)},
                       {"slot_use", Report.SlotUse},
                       {"connections", Report.Connections}});
  return nlohmann::json{{"status", nlohmann::json::parse(toJson(Status))},
                        {"configuration", nlohmann::json::parse(toJson(Sources.InForce))},
                        {"view", viewJson(Sources.View)},
                        {"target_reports", Reports},
                        {"record_count", Records.size()},
                        {"records", Flows}}
      .dump(2);
}

} // namespace briarpoint
