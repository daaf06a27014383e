#include "forwarder/forwarder_log.h"

#include <algorithm>
#include <cmath>

namespace briarpoint {

namespace {

log_event logEventFor(const forward_decision &Decision) {
  if (Decision.Action == forward_action::Reset)
    return log_event::FlowReset;
  if (Decision.Action == forward_action::Drop)
    return log_event::PacketDropped;
  switch (Decision.Reason) {
  case forward_reason::Placed:
    return log_event::FlowPlaced;
  case forward_reason::PlacedAgain:
    return log_event::FlowPlacedAgain;
  case forward_reason::RouteUnconfirmed:
    return log_event::RouteUnconfirmed;
  default:
    return log_event::PacketRepeated;
  }
}

std::string targetState(const target &Target, instant Now) {
  if (Target.gone(Now))
    return "gone";
  if (Target.removed())
    return "lapsed";
  if (Target.draining(Now))
    return "draining";
  if (Target.Evacuated)
    return "evacuated";
  if (Target.foundDead(Now))
    return "dead";
  return Target.Health.suspected(Now) ? "suspected" : "ready";
}

/// Returns a share from 0 to 1 with two decimal places.
std::string shareText(double Share) {
  const long Percent = std::lround(Share * 100);
  const std::string Digits = std::to_string(Percent % 100);
  return std::to_string(Percent / 100) + "." + (Digits.size() < 2 ? "0" : "") + Digits;
}

} // namespace

void forwarder_log::logDecision(const caller_packet &Packet, const forward_decision &Decision,
                                std::string_view RequestId, instant Now) {
  const target *Target = Decision.Target;
  Log.write(
      logEventFor(Decision),
      {{"caller", toString(Packet.Flow.Caller)},
       {"service", toString(Packet.Flow.Service)},
       {"reason", std::string(toString(Decision.Reason))},
       {"request", std::string(RequestId)},
       {"target", Target == nullptr ? "" : Target->Registration.Name},
       {"target_state", Target == nullptr ? "" : targetState(*Target, Now)},
       {"target_revision", Target == nullptr ? "" : std::to_string(Target->Registration.Revision)},
       {"target_flows", Target == nullptr ? "" : std::to_string(Target->OpenFlows)},
       {"repeats", std::to_string(Decision.Repeats)},
       {"version", std::to_string(Routes.version())}});
}

void forwarder_log::logMalformed(std::size_t Size) {
  Log.write(log_event::PacketMalformed, {{"size", std::to_string(Size)}});
}

void forwarder_log::logSuspicionChanges(const suspicion_changes &Changes, instant Now) {
  for (const target *Target : Changes.Began)
    Log.write(log_event::TargetSuspected,
              {{"target", Target->Registration.Name},
               {"service", Target->Registration.Service},
               {"repeats", std::to_string(Target->Health.repeats())},
               {"doubted", Target->Health.handshakeOverdue(Now) ? "yes" : "no"}});
  for (const std::string &Name : Changes.Ended)
    Log.write(log_event::TargetAnswered, {{"target", Name}});
  for (const target *Target : Changes.ReportsBegan)
    Log.write(log_event::TargetReported,
              {{"target", Target->Registration.Name}, {"service", Target->Registration.Service}});
  for (const std::string &Name : Changes.ReportsEnded)
    Log.write(log_event::TargetReportEnded, {{"target", Name}});
}

void forwarder_log::logWarmUpShares(std::vector<warm_up_share> Shares) {
  if (Shares == WarmUpShares)
    return;
  for (const warm_up_share &Share : Shares)
    if (std::find(WarmUpShares.begin(), WarmUpShares.end(), Share) == WarmUpShares.end())
      Log.write(log_event::WarmUpShareChanged, {{"service", Share.Service},
                                                {"allowance", std::to_string(Share.Allowance)},
                                                {"share", std::to_string(Share.Share)},
                                                {"holder", Share.Holder ? "yes" : "no"}});
  for (const warm_up_share &Earlier : WarmUpShares)
    if (std::none_of(Shares.begin(), Shares.end(),
                     [&](const warm_up_share &Share) { return Share.Service == Earlier.Service; }))
      Log.write(log_event::WarmUpShareChanged, {{"service", Earlier.Service},
                                                {"allowance", "unlimited"},
                                                {"share", "unlimited"},
                                                {"holder", Earlier.Holder ? "yes" : "no"}});
  WarmUpShares = std::move(Shares);
}

void forwarder_log::logAdmission(const std::vector<admission_status> &Services) {
  for (const admission_status &Status : Services) {
    const int Tenths = static_cast<int>(Status.Level * 10);
    const auto Logged = AdmissionTenths.find(Status.Service);
    if (Status.Active ? Logged != AdmissionTenths.end() && Logged->second == Tenths
                      : Logged == AdmissionTenths.end())
      continue;
    if (Status.Active)
      AdmissionTenths[Status.Service] = Tenths;
    else
      AdmissionTenths.erase(Logged);
    Log.write(log_event::AdmissionChanged,
              {{"service", Status.Service},
               {"active", Status.Active ? "yes" : "no"},
               {"level", shareText(Status.Level)},
               {"admitted", shareText(Status.Admitted[0]) + "," + shareText(Status.Admitted[1]) +
                                "," + shareText(Status.Admitted[2])}});
  }
}

void forwarder_log::logStateChanges(const target_state_changes &Changes, instant Now) {
  for (const target *Target : Changes.DeadBegan)
    Log.write(log_event::TargetDead,
              {{"target", Target->Registration.Name},
               {"service", Target->Registration.Service},
               {"target_flows", std::to_string(Target->OpenFlows)},
               {"ends_flows", Target->foundDeadRecently(Now) ? "yes" : "no"}});
  for (const target *Target : Changes.FailingBegan)
    Log.write(log_event::TargetFailing, {{"target", Target->Registration.Name},
                                         {"service", Target->Registration.Service},
                                         {"target_flows", std::to_string(Target->OpenFlows)}});
  for (const std::string &Name : Changes.DeadEnded)
    Log.write(log_event::TargetDeadEnded, {{"target", Name}});
  for (const std::string &Name : Changes.FailingEnded)
    Log.write(log_event::TargetFailingEnded, {{"target", Name}});
}

void logContactChange(event_log &Log, const std::string &Kind, bool InContact,
                      call_outcome Outcome) {
  Log.write(InContact ? log_event::StoreRegained : log_event::StoreLost,
            {{"kind", Kind}, {"outcome", std::string(toString(Outcome))}});
}

} // namespace briarpoint
