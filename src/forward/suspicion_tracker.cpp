#include "forward/suspicion_tracker.h"

namespace briarpoint {

void suspicion_tracker::track(const target &Target, bool IsSuspected, names &Known,
                              std::vector<const target *> &Began, std::vector<std::string> &Ended) {
  const std::string &Name = Target.Registration.Name;
  if (IsSuspected && Known.insert(Name).second)
    Began.push_back(&Target);
  else if (!IsSuspected && !Known.empty() && Known.erase(Name) > 0)
    Ended.push_back(Name);
}

suspicion_changes suspicion_tracker::update(const target_registry &Targets, instant Now) {
  suspicion_changes Changes;
  Targets.forEach([&](const target &Target) {
    track(Target, Target.Health.suspected(Now) || Target.Health.handshakeOverdue(Now), Suspected,
          Changes.Began, Changes.Ended);
    track(Target, Target.reported(Now), Reported, Changes.ReportsBegan, Changes.ReportsEnded);
  });
  const auto IsUnknown = [&](const std::string &Name) { return !Targets.contains(Name); };
  std::erase_if(Suspected, IsUnknown);
  std::erase_if(Reported, IsUnknown);
  return Changes;
}

} // namespace briarpoint
