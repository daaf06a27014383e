#include "core/target/target_controller.h"

#include "base/hash.h"
#include "core/target/prober_assignment.h"

#include <algorithm>

namespace briarpoint {

namespace {

constexpr duration LoadStep = std::chrono::seconds(1);

} // namespace

target_controller::target_controller(const target_settings &Settings, random_source &Random)
    : Settings(Settings), Random(Random), NextSequence(Settings.FirstSequence) {}

void target_controller::applyConfiguration(const configuration &Configuration, instant Now) {
  std::unordered_map<target_id, target_entry> Kept;
  Services.clear();
  for (const service_config &Service : Configuration.Services) {
    std::vector<target_id> &Ids = Services.emplace_back();
    for (const target_config &Config : Service.Targets) {
      const target_id Id = makeTargetId(Service.Name, Config);
      Ids.push_back(Id);
      const auto Known = Targets.find(Id);
      target_entry Entry;
      if (Known != Targets.end())
        Entry = std::move(Known->second);
      else if (Configured)
        Entry.SlowStartFrom = Now;
      Entry.Config = Config;
      Entry.Service = Service.Id;
      assign(Id, Kept[Id] = std::move(Entry), Now);
    }
  }
  Targets = std::move(Kept);
  // Version 0 is the configuration before the first one: what follows it isn't an addition.
  Configured = Configuration.Version != 0;
  Stale = true;
}

void target_controller::applyMembers(const std::vector<member_view> &NewMembers, instant Now) {
  Members = NewMembers;
  for (auto &[Id, Entry] : Targets)
    assign(Id, Entry, Now);
  Stale = true;
}

void target_controller::setUnreachableDataCentres(std::set<std::string> DataCentres) {
  if (Unreachable == DataCentres)
    return;
  Unreachable = std::move(DataCentres);
  Stale = true;
}

bool target_controller::isRemote(const target_entry &Entry) const {
  const auto InDataCentre = [&](const member_view &Member) {
    return Member.DataCentre == Entry.Config.DataCentre;
  };
  const auto IsSelf = [&](const member_view &Member) { return Member.Id == Settings.Self; };
  const auto Own = std::find_if(Members.begin(), Members.end(), IsSelf);
  return Own != Members.end() && !InDataCentre(*Own) &&
         std::any_of(Members.begin(), Members.end(), InDataCentre);
}

bool target_controller::isCutOff(const target_entry &Entry) const {
  return Entry.Down && Unreachable.contains(Entry.Config.DataCentre);
}

void target_controller::assign(target_id Id, target_entry &Entry, instant Now) {
  Entry.Probers = assignProbers(Id, Members, Settings.ProbersPerTarget);
  const auto IsProber = [&](member_id Member) {
    return std::find(Entry.Probers.begin(), Entry.Probers.end(), Member) != Entry.Probers.end();
  };
  if (!IsProber(Settings.Self))
    Entry.Probe.reset();
  else if (!Entry.Probe) {
    // Probers of one target start at different moments, so that together they notice a change
    // sooner.
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
  // The order of the map differs between implementations; runs must be repeatable.
  std::sort(Due.begin(), Due.end());
  return Due;
}

void target_controller::handleProbe(const probe_result &Result, instant Now) {
  const auto Found = Targets.find(Result.Target);
  if (Found == Targets.end() || !Found->second.Probe)
    return;
  Found->second.Probe->handle(Settings, Result, Now);
  takeReport(Found->second, Now);
}

void target_controller::takeReport(target_entry &Entry, instant Now) {
  // One prober spreads the load; three copies of each report would take most of the control
  // traffic.
  const bool ReportsLoad = Entry.Probers.front() == Settings.Self;
  std::optional<target_status> Report = Entry.Probe->takeReport(Settings, ReportsLoad, Now);
  if (!Report)
    return;
  Report->Reporter = Settings.Self;
  Report->Sequence = NextSequence++;
  store(Entry, *Report, Now);
}

void target_controller::handleStatuses(std::span<const target_status> Statuses, instant Now) {
  for (const target_status &Status : Statuses) {
    const auto Found = Targets.find(Status.Target);
    // A report of an earlier process of this name must not outlive it here.
    if (Found == Targets.end() || Status.Reporter == Settings.Self)
      continue;
    store(Found->second, Status, Now);
  }
}

void target_controller::store(target_entry &Entry, const target_status &Status, instant Now) {
  const auto Known = Entry.Reports.find(Status.Reporter);
  const bool IsNew = Known == Entry.Reports.end();
  if (!IsNew && Known->second.Status.Sequence >= Status.Sequence)
    return;
  const bool Important = IsNew ? Status.Health != target_health::Healthy
                               : Status.Health != Known->second.Status.Health;
  const bool Assigned =
      std::find(Entry.Probers.begin(), Entry.Probers.end(), Status.Reporter) != Entry.Probers.end();
  Entry.Reports[Status.Reporter] = {Status,
                                    Assigned ? Never : Now + Settings.UnassignedReportLifetime};
  queue(Status, Important);
  Stale = true;
}

void target_controller::queue(const target_status &Status, bool Important) {
  Updates.add({Status.Target, Status.Reporter}, copies(Important));
  Urgent |= Important;
}

std::uint32_t target_controller::copies(bool Important) const {
  // Lost load reports do little harm, so they are passed on half as often.
  const std::uint32_t Copies = disseminationCopies(Members.size());
  return Important ? Copies : (Copies + 1) / 2;
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
  Stale = true;
}

void target_controller::tick(instant Now) {
  const bool Step = Now >= LoadStepAt;
  if (!Step && !Stale)
    return;
  for (auto &[Id, Entry] : Targets)
    mergeReports(Entry, Now);
  for (const std::vector<target_id> &Ids : Services) {
    if (Step) {
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
  if (Step)
    LoadStepAt = Now + LoadStep;
  Stale = false;
}

} // namespace briarpoint
