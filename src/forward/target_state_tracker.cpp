#include "forward/target_state_tracker.h"

namespace briarpoint {

void target_state_tracker::track(const target &Target, bool Holds, names &Known,
                                 std::vector<const target *> &Began,
                                 std::vector<std::string> &Ended) {
  const std::string &Name = Target.Registration.Name;
  if (Holds && Known.insert(Name).second)
    Began.push_back(&Target);
  else if (!Holds && !Known.empty() && Known.erase(Name) > 0)
    Ended.push_back(Name);
}

target_state_changes target_state_tracker::update(const target_registry &Targets, instant Now) {
  target_state_changes Changes;
  Targets.forEach([&](const target &Target) {
    track(Target, Target.foundDead(Now), Dead, Changes.DeadBegan, Changes.DeadEnded);
    track(Target, Target.failing(Now), Failing, Changes.FailingBegan, Changes.FailingEnded);
  });
  const auto IsUnknown = [&](const std::string &Name) { return !Targets.contains(Name); };
  std::erase_if(Dead, IsUnknown);
  std::erase_if(Failing, IsUnknown);
  return Changes;
}

} // namespace briarpoint
