#include "forward/pooled_load.h"

#include <algorithm>

namespace briarpoint {

namespace {

template <typename T>
load_summary_entry entryOf(const T &Entries, const std::string &Service,
                           const std::string &DataCentre) {
  const auto Found = Entries.find(loadKey(Service, DataCentre));
  return Found == Entries.end() ? load_summary_entry() : Found->second;
}

} // namespace

bool pooled_load::apply(const load_summary &Summary, instant Now) {
  // The difference is signed so that numbers may wrap.
  if (valid(Now) && static_cast<std::int32_t>(Summary.Round - Round) <= 0)
    return false;
  const bool HasPrevious = valid(Now);
  Previous = std::move(Latest);
  Latest.clear();
  for (const load_summary_entry &Entry : Summary.Entries)
    Latest[Entry.Key] = Entry;
  if (!HasPrevious)
    Previous = Latest;
  Round = Summary.Round;
  ReceivedAt = Now;
  ValidUntil = Now + Lifetime;
  return true;
}

std::vector<data_centre_load> pooled_load::dataCentres(std::span<target *const> ServiceTargets,
                                                       instant Now) const {
  std::vector<data_centre_load> Result;
  for (const target *Target : ServiceTargets) {
    if (!Target->acceptsFlows(Now))
      continue;
    const target_registration &Entry = Target->Registration;
    auto Found = std::find_if(Result.begin(), Result.end(), [&](const data_centre_load &Load) {
      return Load.DataCentre == Entry.DataCentre;
    });
    if (Found == Result.end())
      Found = Result.insert(Result.end(), {Entry.DataCentre, Target->Local});
    Found->Slots += Target->working(Now) ? Entry.Slots : 0;
  }
  for (data_centre_load &Load : Result) {
    const std::string &Service = ServiceTargets.front()->Registration.Service;
    const load_summary_entry New = entryOf(Latest, Service, Load.DataCentre);
    const load_summary_entry Old = entryOf(Previous, Service, Load.DataCentre);
    Load.InProgress = (static_cast<double>(New.InProgress) + Old.InProgress) / 2;
    Load.Answered = New.Answered;
    Load.Rejected = New.Rejected;
    Load.Silent = !Load.Local && New.Answered == 0 && Old.Answered == 0;
    // Answers and rejections aren't compared: this balancer counts them over another interval.
    Load.InProgress = std::max(Load.InProgress, ownInProgress(Service, Load.DataCentre));
  }
  return Result;
}

double pooled_load::ownInProgress(const std::string &Service, const std::string &DataCentre) const {
  const auto Seen = Own.loads().find({Service, DataCentre});
  return Seen == Own.loads().end() ? 0 : Seen->second.InProgress;
}

bool pooled_load::covers(std::span<target *const> ServiceTargets, instant Now) const {
  double Slots = 0;
  for (const target *Target : ServiceTargets)
    Slots += Target->acceptsFlows(Now) ? Target->Registration.Slots : 0;
  return Slots >= MinServiceSlots;
}

service_pressure pooled_load::pressure(const std::string &Service, instant Now) const {
  service_pressure Result;
  if (!valid(Now) || !covers(Targets.findByService(Service), Now))
    return Result;
  Result.Known = true;
  for (const data_centre_load &Load : dataCentres(Targets.findByService(Service), Now)) {
    // Others may not suspect the targets there yet. Requests without slots would look like a queue.
    if (Load.Silent || Load.Slots <= 0)
      continue;
    Result.InProgress += std::max<double>(entryOf(Latest, Service, Load.DataCentre).InProgress,
                                          ownInProgress(Service, Load.DataCentre));
    Result.Slots += Load.Slots;
    Result.Answered += Load.Answered;
    Result.Rejected += Load.Rejected;
  }
  return Result;
}

} // namespace briarpoint
