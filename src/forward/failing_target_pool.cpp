#include "forward/failing_target_pool.h"

#include <algorithm>
#include <string>

namespace briarpoint {

void failing_target_pool::report(const target_process &Target, std::uint16_t Count,
                                 std::uint64_t Observer, instant Now) {
  if (Reports.size() >= MaxTargets && !Reports.contains(Target))
    return;
  std::deque<failure_report> &List = Reports[Target];
  if (List.size() < MaxReports)
    List.push_back({Now, Observer, std::min(Count, MaxFailuresPerReport)});
}

std::vector<target_process> failing_target_pool::failing(target_registry &Targets, instant Now) {
  struct failures {
    const target *Target;
    target_process Process;
    std::uint32_t Count;
    std::size_t Observers;
  };
  std::vector<failures> Counted;
  std::map<std::string, std::uint32_t> ServiceCounts;
  for (auto It = Reports.begin(); It != Reports.end();) {
    const auto &[Process, List] = *It;
    std::erase_if(It->second,
                  [&](const failure_report &Report) { return Now >= Report.At + Window; });
    if (List.empty()) {
      It = Reports.erase(It);
      continue;
    }
    const target *Target = findProcess(Targets, Process);
    if (Target != nullptr) {
      std::uint32_t Count = 0;
      std::set<std::uint64_t> Observers;
      for (const failure_report &Report : List) {
        Count += Report.Count;
        Observers.insert(Report.Observer);
      }
      Counted.push_back({Target, Process, Count, Observers.size()});
      ServiceCounts[Target->Registration.Service] += Count;
    }
    ++It;
  }
  std::vector<target_process> Result;
  for (const failures &Failures : Counted) {
    const std::string &Service = Failures.Target->Registration.Service;
    const auto All = Targets.findByService(Service);
    const auto Present = std::count_if(All.begin(), All.end(),
                                       [&](const target *Target) { return !Target->gone(Now); });
    const double Mean =
        ServiceCounts[Service] / static_cast<double>(std::max<std::ptrdiff_t>(Present, 1));
    if (Failures.Count >= MinFailures && Failures.Observers >= MinObservers &&
        Failures.Count >= MinRatio * Mean)
      Result.push_back(Failures.Process);
  }
  return Result;
}

} // namespace briarpoint
