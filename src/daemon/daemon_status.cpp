#include "daemon/daemon_status.h"

#include <nlohmann/json.hpp>

namespace briarpoint {

namespace {

nlohmann::json classCounters(const std::array<std::uint64_t, RequestClassCount> &Counters) {
  nlohmann::json Result = nlohmann::json::object();
  for (std::size_t I = 0; I < RequestClassCount; ++I)
    Result[toText(static_cast<request_class>(I))] = Counters[I];
  return Result;
}

nlohmann::json droppedCounters(const daemon_status &Status) {
  nlohmann::json Result = nlohmann::json::object();
  for (std::size_t I = 0; I < DropReasonCount; ++I)
    Result[toText(static_cast<drop_reason>(I))] = Status.DataPlane.Dropped[I];
  const packet_task_counters &Task = Status.PacketTask;
  Result["malformed_encapsulation"] = Task.Malformed;
  Result["malformed_handover"] = Task.MalformedHandover;
  Result["unknown_source"] = Task.UnknownSource;
  Result["unexpected_handover"] = Task.UnexpectedHandover;
  Result["wrong_vni"] = Task.WrongVni;
  Result["not_sent"] = Task.NotSent;
  return Result;
}

} // namespace

std::string toText(member_state State) {
  switch (State) {
  case member_state::Joining:
    return "joining";
  case member_state::Ready:
    return "ready";
  case member_state::Leaving:
    return "leaving";
  case member_state::Dead:
    break;
  }
  return "dead";
}

std::string toText(target_health Health) {
  switch (Health) {
  case target_health::Healthy:
    return "healthy";
  case target_health::Draining:
    return "draining";
  case target_health::Shedding:
    return "shedding";
  case target_health::Down:
    break;
  }
  return "down";
}

std::string toText(request_class Class) {
  switch (Class) {
  case request_class::Critical:
    return "critical";
  case request_class::Normal:
    return "normal";
  case request_class::Bulk:
    break;
  }
  return "bulk";
}

std::string toText(drop_reason Reason) {
  switch (Reason) {
  case drop_reason::Malformed:
    return "malformed";
  case drop_reason::NoService:
    return "no_service";
  case drop_reason::NoOwner:
    return "no_owner";
  case drop_reason::TooManyHops:
    return "too_many_hops";
  case drop_reason::UnknownFlow:
    return "unknown_flow";
  case drop_reason::WrongService:
    return "wrong_service";
  case drop_reason::StaleReply:
    return "stale_reply";
  case drop_reason::TableFull:
    return "table_full";
  case drop_reason::NoTarget:
    return "no_target";
  case drop_reason::Rejected:
    return "rejected";
  case drop_reason::Count:
    break;
  }
  return "unknown";
}

std::string toJson(const daemon_status &Status) {
  nlohmann::json Members = nlohmann::json::array();
  for (const member_summary &Member : Status.Members)
    Members.push_back({{"name", Member.Info.Name},
                       {"data_centre", Member.Info.DataCentre},
                       {"state", toText(Member.Info.State)},
                       {"incarnation", Member.Info.Incarnation},
                       {"suspected", Member.Suspected}});
  nlohmann::json Targets = nlohmann::json::array();
  for (const target_summary &Target : Status.Targets)
    Targets.push_back({{"service", Target.Service},
                       {"name", Target.Name},
                       {"health", toText(Target.Health)},
                       {"weight", Target.Weight},
                       {"accepts_new", Target.AcceptsNew},
                       {"open_flows", Target.OpenFlows}});
  const data_plane_counters &Plane = Status.DataPlane;
  const nlohmann::json Document = {{"name", Status.Name},
                                   {"data_centre", Status.DataCentre},
                                   {"ready", Status.Ready},
                                   {"version", Status.Version},
                                   {"members", Members},
                                   {"targets", Targets},
                                   {"flows",
                                    {{"records", Plane.Records},
                                     {"owned", Plane.OwnedRecords},
                                     {"opened", Plane.FlowsOpened},
                                     {"reset", Plane.FlowsReset},
                                     {"silent", Plane.FlowsSilent}}},
                                   {"admitted", classCounters(Plane.Admitted)},
                                   {"rejected", classCounters(Plane.Rejected)},
                                   {"dropped", droppedCounters(Status)}};
  return Document.dump(2);
}

} // namespace briarpoint
