#include "core/data/target_directory.h"

namespace briarpoint {

void target_directory::applyView(const forwarding_view &View) {
  for (target_state &State : States)
    State.View = nullptr;
  for (const target_view &Target : View.targets())
    States[indexOf(Target.Id)].View = &Target;

  ByService.assign(View.services().size(), {});
  FirstService = View.services().data();
  for (std::size_t I = 0; I < View.services().size(); ++I) {
    for (const std::uint32_t Target : View.services()[I].Targets)
      ByService[I].push_back(indexOf(View.targets()[Target].Id));
  }
  releaseUnusedStates();
}

std::uint32_t target_directory::indexOf(target_id Id) {
  const auto Found = Index.find(Id);
  if (Found != Index.end())
    return Found->second;
  std::uint32_t NewIndex = 0;
  if (FreeIndices.empty()) {
    NewIndex = static_cast<std::uint32_t>(States.size());
    States.emplace_back();
  } else {
    NewIndex = FreeIndices.back();
    FreeIndices.pop_back();
    States[NewIndex] = {};
  }
  States[NewIndex].Id = Id;
  States[NewIndex].Observation.Target = Id;
  Index.emplace(Id, NewIndex);
  return NewIndex;
}

void target_directory::releaseUnusedStates() {
  for (std::uint32_t I = 0; I < States.size(); ++I) {
    target_state &State = States[I];
    if (State.Id == NoTarget || State.View != nullptr || State.Entries != 0)
      continue;
    Index.erase(State.Id);
    State = {};
    FreeIndices.push_back(I);
  }
}

} // namespace briarpoint
