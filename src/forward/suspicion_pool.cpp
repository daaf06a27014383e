#include "forward/suspicion_pool.h"

namespace briarpoint {

void suspicion_pool::report(std::uint64_t Target, std::uint64_t Observer, instant Now) {
  if (Reports.size() >= MaxTargets && !Reports.contains(Target))
    return;
  observers &Observers = Reports[Target];
  if (Observers.size() < MaxObservers || Observers.contains(Observer))
    Observers[Observer] = Now + ReportLifetime;
}

std::vector<std::uint64_t> suspicion_pool::suspected(instant Now) {
  std::vector<std::uint64_t> Result;
  for (auto It = Reports.begin(); It != Reports.end();) {
    std::erase_if(It->second, [&](const auto &Report) { return Now >= Report.second; });
    if (It->second.size() >= MinObservers)
      Result.push_back(It->first);
    It = It->second.empty() ? Reports.erase(It) : std::next(It);
  }
  return Result;
}

} // namespace briarpoint
