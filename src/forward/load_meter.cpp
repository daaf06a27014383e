#include "forward/load_meter.h"

#include <algorithm>
#include <limits>

namespace briarpoint {

namespace {

std::uint16_t saturate(std::uint32_t Value) {
  constexpr std::uint32_t Max = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(Value, Max));
}

} // namespace

void load_meter::onAnswer(const target &Target, duration ResponseTime, instant Now) {
  const target_registration &Entry = Target.Registration;
  response &Response = Responses[Entry.Service];
  load &Load = Loads[{Entry.Service, Entry.DataCentre}];
  const double Seconds = std::chrono::duration<double>(ResponseTime).count();
  if (Response.LowestMean >= MinMeanSeconds && Seconds < RejectionShare * Response.LowestMean) {
    ++Load.Rejected;
    return;
  }
  ++Load.Answered;
  ++Response.Samples;
  Response.Mean += (Seconds - Response.Mean) * std::max(SampleWeight, 1.0 / Response.Samples);
  if (Response.Samples >= MinSamples) {
    const double Elapsed = std::chrono::duration<double>(Now - Response.LastAt).count();
    const double Grown = Response.LowestMean * (1 + LowestMeanGrowth * std::max(0.0, Elapsed));
    Response.LowestMean = Response.LowestMean > 0 ? std::min(Grown, Response.Mean) : Response.Mean;
  }
  Response.LastAt = Now;
}

void load_meter::beginCount() {
  for (auto &[Key, Load] : Loads) {
    Load.InProgress = 0;
    Load.OpenFlows = 0;
  }
}

void load_meter::addFlow(const target &Target, bool InProgress) {
  load &Load = Loads[{Target.Registration.Service, Target.Registration.DataCentre}];
  ++Load.OpenFlows;
  Load.InProgress += InProgress ? 1U : 0U;
}

void load_meter::endCount() {
  std::erase_if(Loads, [](const auto &Entry) {
    const load &Load = Entry.second;
    return Load.OpenFlows == 0 && Load.MeanInProgress < 0.01 && Load.Answered == 0 &&
           Load.Rejected == 0;
  });
  for (auto &[Key, Load] : Loads) {
    Load.MeanInProgress += (Load.InProgress - Load.MeanInProgress) * CountWeight;
  }
}

double load_meter::slowdown(const std::string &Service, instant Now) const {
  const auto Found = Responses.find(Service);
  if (Found == Responses.end() || Found->second.LowestMean <= 0 ||
      Now >= Found->second.LastAt + MaxAge)
    return 1;
  return Found->second.Mean / Found->second.LowestMean;
}

std::vector<load_report_entry> load_meter::takeReport() {
  std::vector<load_report_entry> Result;
  for (auto &[Key, Load] : Loads) {
    Result.push_back({loadKey(Key.first, Key.second), saturate(Load.InProgress),
                      saturate(Load.OpenFlows), saturate(Load.Answered), saturate(Load.Rejected)});
    Load.Answered = 0;
    Load.Rejected = 0;
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const load_report_entry &A, const load_report_entry &B) {
                     return A.OpenFlows > B.OpenFlows;
                   });
  if (Result.size() > MaxLoadEntries)
    Result.resize(MaxLoadEntries);
  return Result;
}

} // namespace briarpoint
