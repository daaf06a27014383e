// Merging of reports and rating of targets.
#include "core/target/target_controller.h"

#include <algorithm>
#include <cmath>

namespace briarpoint {

namespace {

/// Share of its weight that a target keeps while it sheds load, fails flow setups, or is down but
/// not ejected.
constexpr double ReducedWeightShare = 0.1;
/// Weights are rounded to this step. Otherwise slow starts and load would publish a new view at
/// each tick.
constexpr double WeightStep = 0.02;
/// Share of the weight at the beginning of a slow start.
constexpr double InitialSlowStartShare = 0.1;

double roundWeight(double Weight) { return std::round(Weight / WeightStep) * WeightStep; }

} // namespace

bool target_controller::isCounted(const target_report &Report, instant Now) {
  if (Now >= Report.ValidUntil)
    return false;
  // Of a prober that was unassigned or died, only a report of draining still counts.
  return Report.ValidUntil == Never || Report.Status.Health == target_health::Draining;
}

void target_controller::mergeReports(target_entry &Entry, instant Now) {
  std::erase_if(Entry.Reports, [&](const auto &Item) { return Now >= Item.second.ValidUntil; });
  Entry.DownVotes = 0;
  Entry.Draining = false;
  std::uint32_t Counted = 0;
  std::uint32_t SheddingCount = 0;
  for (const auto &[Reporter, Report] : Entry.Reports) {
    if (!isCounted(Report, Now))
      continue;
    ++Counted;
    Entry.DownVotes += Report.Status.Health == target_health::Down ? 1 : 0;
    SheddingCount += Report.Status.Health == target_health::Shedding ? 1 : 0;
    Entry.Draining |= Report.Status.Health == target_health::Draining;
  }
  Entry.SheddingShare = Counted == 0 ? 0 : static_cast<double>(SheddingCount) / Counted;

  // A target is down if two probers report it, or one prober and this balancer's own flows. With a
  // single balancer there is one prober, whose report is enough.
  const auto RequiredVotes =
      static_cast<std::uint32_t>(std::clamp<std::size_t>(Entry.Probers.size(), 1, 2));
  const bool Down =
      Entry.DownVotes >= RequiredVotes || (Entry.DownVotes == 1 && Entry.Passive.isFailing());
  if (Entry.Down && !Down)
    Entry.SlowStartFrom = Now;
  if (Down && !Entry.Down)
    Entry.DeadAt = isRemote(Entry) ? Now + Settings.RemoteDeadDelay : Now;
  Entry.Down = Down;
}

void target_controller::mergeLoad(target_entry &Entry, instant Now) {
  // Only the first prober updates the load. Until it has reported, the last report of the next
  // prober is used.
  Entry.Load.HasReport = false;
  for (const member_id Prober : Entry.Probers) {
    const auto Found = Entry.Reports.find(Prober);
    if (Found == Entry.Reports.end() || !isCounted(Found->second, Now) ||
        Found->second.Status.Health == target_health::Down)
      continue;
    Entry.Load.HasReport = true;
    Entry.Load.SlotUse = Found->second.Status.SlotUse / 255.0;
    Entry.Load.Connections = Found->second.Status.Connections;
    return;
  }
}

void target_controller::rateService(const std::vector<target_id> &Ids, instant Now) {
  // At most MaxEjected of the targets that aren't draining, leaving or cut off are ejected: those
  // with the most votes.
  std::vector<target_entry *> ToEject;
  std::size_t EjectableCount = 0;
  for (const target_id Id : Ids) {
    target_entry &Entry = Targets.at(Id);
    if (Entry.Draining || Entry.Config.Intent == target_intent::Leaving || isCutOff(Entry))
      continue;
    ++EjectableCount;
    if (Entry.Down)
      ToEject.push_back(&Entry);
  }
  std::stable_sort(ToEject.begin(), ToEject.end(),
                   [](const target_entry *A, const target_entry *B) {
                     const auto Key = [](const target_entry *Entry) {
                       return std::pair(Entry->DownVotes, Entry->Passive.isFailing());
                     };
                     return Key(A) > Key(B);
                   });
  const auto Limit =
      static_cast<std::size_t>(Settings.MaxEjected * static_cast<double>(EjectableCount) + 1e-9);
  if (ToEject.size() > Limit)
    ToEject.resize(Limit);
  for (const target_id Id : Ids) {
    target_entry &Entry = Targets.at(Id);
    rateTarget(Entry, std::find(ToEject.begin(), ToEject.end(), &Entry) != ToEject.end(), Now);
  }
}

void target_controller::rateTarget(target_entry &Entry, bool Ejected, instant Now) {
  const bool IsLeaving = Entry.Draining || Entry.Config.Intent == target_intent::Leaving;
  target_rating Rating;
  Rating.AcceptsNew = !IsLeaving && !Ejected && !isCutOff(Entry);
  // A leaving target isn't subject to the ejection limit, so it can be dead without being ejected.
  Rating.Dead = (Ejected || (IsLeaving && Entry.Down && !isCutOff(Entry))) && Now >= Entry.DeadAt;
  double Weight = slowStartShare(Entry, Now) * Entry.Load.Weight;
  Weight *= 1.0 - (1.0 - ReducedWeightShare) * Entry.SheddingShare;
  if (Entry.Passive.isPenalized(Now) || (Entry.Down && !Ejected))
    Weight *= ReducedWeightShare;
  Rating.Weight = Rating.AcceptsNew ? std::max(WeightStep, roundWeight(Weight)) : 0;
  if (Rating == Entry.Rating)
    return;
  Entry.Rating = Rating;
  ++Generation;
}

double target_controller::slowStartShare(const target_entry &Entry, instant Now) const {
  if (Entry.SlowStartFrom == instant::min() || Settings.SlowStart <= duration::zero())
    return 1.0;
  const double Progress =
      std::chrono::duration<double>(Now - Entry.SlowStartFrom) / Settings.SlowStart;
  return std::min(1.0, InitialSlowStartShare + (1.0 - InitialSlowStartShare) * Progress);
}

} // namespace briarpoint
