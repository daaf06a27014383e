// How target_controller merges reports and rates targets.
#include "core/target/target_controller.h"

#include <algorithm>
#include <cmath>

namespace briarpoint {

namespace {

/// Share of its weight that a target keeps while it sheds load or fails flow setups.
constexpr double ReducedShare = 0.1;
/// Weights are rounded to this step, so that ramps and load don't publish a view each tick.
constexpr double WeightStep = 0.02;
constexpr double RampStart = 0.1;

double roundWeight(double Weight) { return std::round(Weight / WeightStep) * WeightStep; }

} // namespace

bool target_controller::counts(const target_report &Report, instant Now) {
  if (Now >= Report.ValidUntil)
    return false;
  // A prober that was relieved or died can still say that the target drains, but not that it is
  // down.
  return Report.ValidUntil == Never || Report.Status.Health == target_health::Draining;
}

void target_controller::mergeReports(target_entry &Entry, instant Now) {
  std::erase_if(Entry.Reports, [&](const auto &Item) { return Now >= Item.second.ValidUntil; });
  Entry.DownVotes = 0;
  Entry.Draining = false;
  std::uint32_t Counted = 0;
  std::uint32_t Shedding = 0;
  for (const auto &[Reporter, Report] : Entry.Reports) {
    if (!counts(Report, Now))
      continue;
    ++Counted;
    Entry.DownVotes += Report.Status.Health == target_health::Down ? 1 : 0;
    Shedding += Report.Status.Health == target_health::Shedding ? 1 : 0;
    Entry.Draining |= Report.Status.Health == target_health::Draining;
  }
  Entry.Shedding = Counted == 0 ? 0 : static_cast<double>(Shedding) / Counted;

  // Two probers must agree, or one and this balancer's own flows. A lone balancer has one prober.
  const auto Needed =
      static_cast<std::uint32_t>(std::clamp<std::size_t>(Entry.Probers.size(), 1, 2));
  const bool Down =
      Entry.DownVotes >= Needed || (Entry.DownVotes == 1 && Entry.Passive.isFailing());
  if (Entry.Down && !Down)
    Entry.SlowStartFrom = Now;
  if (Down && !Entry.Down)
    Entry.DeadAt = isRemote(Entry) ? Now + Settings.RemoteDeadDelay : Now;
  Entry.Down = Down;
}

void target_controller::mergeLoad(target_entry &Entry, instant Now) {
  // Only the first prober keeps its report of the load up to date; the next ones stand in for it
  // until it has reported.
  Entry.Load.Reported = false;
  for (const member_id Prober : Entry.Probers) {
    const auto Found = Entry.Reports.find(Prober);
    if (Found == Entry.Reports.end() || !counts(Found->second, Now) ||
        Found->second.Status.Health == target_health::Down)
      continue;
    Entry.Load.Reported = true;
    Entry.Load.SlotUse = Found->second.Status.SlotUse / 255.0;
    Entry.Load.Connections = Found->second.Status.Connections;
    return;
  }
}

void target_controller::rateService(const std::vector<target_id> &Ids, instant Now) {
  // Only the most unhealthy ones may be ejected, at most MaxEjected of those that take part.
  std::vector<target_entry *> Down;
  std::size_t Participants = 0;
  for (const target_id Id : Ids) {
    target_entry &Entry = Targets.at(Id);
    if (Entry.Draining || Entry.Config.Intent == target_intent::Leaving || isCutOff(Entry))
      continue;
    ++Participants;
    if (Entry.Down)
      Down.push_back(&Entry);
  }
  std::stable_sort(Down.begin(), Down.end(), [](const target_entry *A, const target_entry *B) {
    const auto Key = [](const target_entry *Entry) {
      return std::pair(Entry->DownVotes, Entry->Passive.isFailing());
    };
    return Key(A) > Key(B);
  });
  const auto Limit =
      static_cast<std::size_t>(Settings.MaxEjected * static_cast<double>(Participants) + 1e-9);
  if (Down.size() > Limit)
    Down.resize(Limit);
  for (const target_id Id : Ids) {
    target_entry &Entry = Targets.at(Id);
    rate(Entry, std::find(Down.begin(), Down.end(), &Entry) != Down.end(), Now);
  }
}

void target_controller::rate(target_entry &Entry, bool Ejected, instant Now) {
  const bool Leaves = Entry.Draining || Entry.Config.Intent == target_intent::Leaving;
  target_rating Rating;
  Rating.AcceptsNew = !Leaves && !Ejected && !isCutOff(Entry);
  // A target that leaves doesn't count towards the ejection limit, so its death needs no place in
  // it.
  Rating.Dead = (Ejected || (Leaves && Entry.Down && !isCutOff(Entry))) && Now >= Entry.DeadAt;
  double Weight = ramp(Entry, Now) * Entry.Load.Weight;
  Weight *= 1.0 - (1.0 - ReducedShare) * Entry.Shedding;
  if (Entry.Passive.isPenalized(Now) || (Entry.Down && !Ejected))
    Weight *= ReducedShare;
  Rating.Weight = Rating.AcceptsNew ? std::max(WeightStep, roundWeight(Weight)) : 0;
  if (Rating == Entry.Rating)
    return;
  Entry.Rating = Rating;
  ++Generation;
}

double target_controller::ramp(const target_entry &Entry, instant Now) const {
  if (Entry.SlowStartFrom == instant::min() || Settings.SlowStart <= duration::zero())
    return 1.0;
  const double Passed =
      std::chrono::duration<double>(Now - Entry.SlowStartFrom) / Settings.SlowStart;
  return std::min(1.0, RampStart + (1.0 - RampStart) * Passed);
}

} // namespace briarpoint
