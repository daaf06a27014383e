#include "core/target/target_controller.h"

#include "base/hash.h"
#include "core/target/prober_assignment.h"

#include <algorithm>

namespace briarpoint {

namespace {

constexpr duration LoadWeightInterval = std::chrono::seconds(1);

} // namespace

target_controller::target_controller(const target_settings &Settings, random_source &Random)
    : Settings(Settings), Random(Random), NextSequence(Settings.FirstSequence) {}

void target_controller::applyConfiguration(const configuration &Configuration, instant Now) {
  std::unordered_map<target_id, target_entry> NewTargets;
  Services.clear();
  for (const service_config &Service : Configuration.Services) {
    std::vector<target_id> &Ids = Services.emplace_back();
    for (const target_config &Config : Service.Targets) {
      const target_id Id = makeTargetId(Service.Name, Config);
      Ids.push_back(Id);
      const auto Existing = Targets.find(Id);
      target_entry Entry;
      if (Existing != Targets.end())
        Entry = std::move(Existing->second);
      else if (HasConfiguration)
        Entry.SlowStartFrom = Now;
      Entry.Config = Config;
      Entry.Service = Service.Id;
      assign(Id, NewTargets[Id] = std::move(Entry), Now);
    }
  }
  Targets = std::move(NewTargets);
  // Version 0 is the empty initial configuration. The targets of the next one aren't additions.
  HasConfiguration = Configuration.Version != 0;
  RatingsOutdated = true;
}

void target_controller::applyMembers(const std::vector<member_view> &NewMembers, instant Now) {
  Members = NewMembers;
  for (auto &[Id, Entry] : Targets)
    assign(Id, Entry, Now);
  RatingsOutdated = true;
}

void target_controller::setUnreachableDataCentres(std::set<std::string> DataCentres) {
  if (UnreachableDataCentres == DataCentres)
    return;
  UnreachableDataCentres = std::move(DataCentres);
  RatingsOutdated = true;
}

bool target_controller::isRemote(const target_entry &Entry) const {
  const auto InDataCentre = [&](const member_view &Member) {
    return Member.DataCentre == Entry.Config.DataCentre;
  };
  const auto IsSelf = [&](const member_view &Member) { return Member.Id == Settings.Self; };
  const auto Self = std::find_if(Members.begin(), Members.end(), IsSelf);
  return Self != Members.end() && !InDataCentre(*Self) &&
         std::any_of(Members.begin(), Members.end(), InDataCentre);
}

bool target_controller::isCutOff(const target_entry &Entry) const {
  return Entry.Down && UnreachableDataCentres.contains(Entry.Config.DataCentre);
}

void target_controller::assign(target_id Id, target_entry &Entry, instant Now) {
  Entry.Probers = assignProbers(Id, Members, Settings.ProbersPerTarget);
  const auto IsProber = [&](member_id Member) {
    return std::find(Entry.Probers.begin(), Entry.Probers.end(), Member) != Entry.Probers.end();
  };
  if (!IsProber(Settings.Self))
    Entry.Probe.reset();
  else if (!Entry.Probe) {
    // The probers of one target start at different times and so detect a change sooner.
    const auto Offset = Random.below(static_cast<std::uint64_t>(Settings.ProbeInterval.count()));
    Entry.Probe.emplace(Id, Now + duration(static_cast<duration::rep>(Offset)));
  }
  for (auto &[Reporter, Report] : Entry.Reports) {
    if (IsProber(Reporter))
      Report.ValidUntil = Never;
    else if (Report.ValidUntil == Never)
      Report.ValidUntil = Now + Settings.UnassignedReportLifetime;
  }
}

std::vector<due_probe> target_controller::takeDueProbes(instant Now) {
  std::vector<due_probe> Due;
  for (auto &[Id, Entry] : Targets)
    if (Entry.Probe && Entry.Probe->takeDue(Settings, Now))
      Due.push_back({Id, Entry.Config.Health});
  // The order of the map depends on the implementation, but runs must be repeatable.
  std::sort(Due.begin(), Due.end());
  return Due;
}

void target_controller::handleProbe(const probe_result &Result, instant Now) {
  const auto Found = Targets.find(Result.Target);
  if (Found == Targets.end() || !Found->second.Probe)
    return;
  Found->second.Probe->handle(Settings, Result, Now);
  storeOwnReport(Found->second, Now);
}

void target_controller::storeOwnReport(target_entry &Entry, instant Now) {
  // Only the first prober reports the load. Three copies of each report would take most of the
  // control traffic.
  const bool ReportsLoad = Entry.Probers.front() == Settings.Self;
  std::optional<target_status> Report = Entry.Probe->takeReport(Settings, ReportsLoad, Now);
  if (!Report)
    return;
  Report->Reporter = Settings.Self;
  Report->Sequence = NextSequence++;
  storeReport(Entry, *Report, Now);
}

void target_controller::handleStatuses(std::span<const target_status> Statuses, instant Now) {
  for (const target_status &Status : Statuses) {
    const auto Found = Targets.find(Status.Target);
    // Reports under this process's own name come from an earlier process and are outdated.
    if (Found == Targets.end() || Status.Reporter == Settings.Self)
      continue;
    storeReport(Found->second, Status, Now);
  }
}

void target_controller::storeReport(target_entry &Entry, const target_status &Status, instant Now) {
  const auto Existing = Entry.Reports.find(Status.Reporter);
  const bool IsNew = Existing == Entry.Reports.end();
  if (!IsNew && Existing->second.Status.Sequence >= Status.Sequence)
    return;
  const bool HealthChanged = IsNew ? Status.Health != target_health::Healthy
                                   : Status.Health != Existing->second.Status.Health;
  const bool Assigned =
      std::find(Entry.Probers.begin(), Entry.Probers.end(), Status.Reporter) != Entry.Probers.end();
  Entry.Reports[Status.Reporter] = {Status,
                                    Assigned ? Never : Now + Settings.UnassignedReportLifetime};
  queueUpdate(Status, HealthChanged);
  RatingsOutdated = true;
}

void target_controller::queueUpdate(const target_status &Status, bool HealthChanged) {
  Updates.add({Status.Target, Status.Reporter}, updateCopies(HealthChanged));
  HasUrgentUpdate |= HealthChanged;
}

std::uint32_t target_controller::updateCopies(bool HealthChanged) const {
  // A lost load report does little harm, so it is sent half as often.
  const std::uint32_t Copies = disseminationCopies(Members.size());
  return HealthChanged ? Copies : (Copies + 1) / 2;
}

std::vector<target_status> target_controller::takeUpdates(std::size_t Limit, std::uint32_t Copies) {
  std::vector<target_status> Result;
  for (const auto &[Target, Reporter] : Updates.take(Limit, Copies)) {
    const auto Found = Targets.find(Target);
    if (Found == Targets.end())
      continue;
    const auto Report = Found->second.Reports.find(Reporter);
    if (Report != Found->second.Reports.end())
      Result.push_back(Report->second.Status);
  }
  return Result;
}

std::uint64_t target_controller::digest() const {
  std::uint64_t Sum = 0;
  for (const auto &[Id, Entry] : Targets)
    for (const auto &[Reporter, Report] : Entry.Reports)
      if (Report.ValidUntil == Never)
        Sum +=
            mixHash(mixHash(static_cast<std::uint64_t>(Id), static_cast<std::uint64_t>(Reporter)),
                    static_cast<std::uint64_t>(Report.Status.Health));
  return Sum;
}

std::vector<target_status> target_controller::fullState() const {
  std::vector<target_status> Result;
  for (const auto &[Id, Entry] : Targets)
    for (const auto &[Reporter, Report] : Entry.Reports)
      if (Report.ValidUntil == Never || Report.Status.Health == target_health::Draining)
        Result.push_back(Report.Status);
  std::sort(Result.begin(), Result.end());
  return Result;
}

target_rating target_controller::rating(target_id Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? target_rating{0, false, false} : Found->second.Rating;
}

void target_controller::handleObservations(std::span<const target_observation> Observations,
                                           instant Now) {
  for (const target_observation &Observation : Observations) {
    const auto Found = Targets.find(Observation.Target);
    if (Found != Targets.end())
      Found->second.Passive.handle(Observation, Random, Now);
  }
  RatingsOutdated = true;
}

void target_controller::tick(instant Now) {
  const bool UpdatesLoad = Now >= NextLoadWeightsAt;
  if (!UpdatesLoad && !RatingsOutdated)
    return;
  for (auto &[Id, Entry] : Targets)
    mergeReports(Entry, Now);
  for (const std::vector<target_id> &Ids : Services) {
    if (UpdatesLoad) {
      std::vector<load_weight *> Loads;
      for (const target_id Id : Ids) {
        target_entry &Entry = Targets.at(Id);
        mergeLoad(Entry, Now);
        if (!Entry.Down && !Entry.Draining)
          Loads.push_back(&Entry.Load);
      }
      adjustLoadWeights(Loads, Now);
    }
    rateService(Ids, Now);
  }
  if (UpdatesLoad)
    NextLoadWeightsAt = Now + LoadWeightInterval;
  RatingsOutdated = false;
}

} // namespace briarpoint
