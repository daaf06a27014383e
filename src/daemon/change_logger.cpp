#include "daemon/change_logger.h"

#include "daemon/daemon_status.h"

namespace briarpoint {

void change_logger::logChanges(const forwarding_view &Old, const forwarding_view &New,
                               const configuration &InForce) {
  if (Old.version() != New.version())
    Log.write(log_event::ConfigurationApplied, {{"version", std::to_string(New.version())},
                                                {"previous", std::to_string(Old.version())}});
  logMembers(Old, New);
  logTargets(Old, New, InForce);
}

void change_logger::logMembers(const forwarding_view &Old, const forwarding_view &New) {
  for (const member_view &Member : New.members()) {
    const member_view *const Before = Old.findMember(Member.Id);
    if (Before != nullptr && Before->State == Member.State && Before->Suspected == Member.Suspected)
      continue;
    Log.write(log_event::MemberChanged, {{"data", toString(Member.Data)},
                                         {"data_centre", Member.DataCentre},
                                         {"state", toText(Member.State)},
                                         {"suspected", Member.Suspected ? "true" : "false"}});
  }
  for (const member_view &Member : Old.members())
    if (New.findMember(Member.Id) == nullptr)
      Log.write(log_event::MemberChanged, {{"data", toString(Member.Data)},
                                           {"data_centre", Member.DataCentre},
                                           {"state", "dead"},
                                           {"suspected", "false"}});
}

void change_logger::logTargets(const forwarding_view &Old, const forwarding_view &New,
                               const configuration &InForce) {
  for (const service_config &Service : InForce.Services)
    for (const target_config &Target : Service.Targets) {
      const target_id Id = makeTargetId(Service.Name, Target);
      const target_view *const Before = Old.findTarget(Id);
      const target_view *const After = New.findTarget(Id);
      if (Before == nullptr || After == nullptr ||
          (Before->AcceptsNew == After->AcceptsNew && Before->Dead == After->Dead))
        continue;
      Log.write(log_event::TargetChanged, {{"service", Service.Name},
                                           {"target", Target.Name},
                                           {"accepts_new", After->AcceptsNew ? "true" : "false"},
                                           {"dead", After->Dead ? "true" : "false"}});
    }
}

} // namespace briarpoint
