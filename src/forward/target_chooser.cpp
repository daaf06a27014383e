#include "forward/target_chooser.h"

#include <algorithm>
#include <numeric>

namespace briarpoint {

target_chooser::local_summary target_chooser::summariseLocal(std::span<target *const> Targets,
                                                             instant Now) {
  local_summary Summary;
  double SlowdownSum = 0;
  int Count = 0;
  int Accepting = 0;
  int Reported = 0;
  for (const target *Target : Targets) {
    if (!Target->acceptsFlows(Now))
      continue;
    ++Accepting;
    Reported += Target->reported(Now) ? 1 : 0;
    if (!Target->Local || !Target->ResponseTime.valid(Now))
      continue;
    const double Mean = Target->ResponseTime.meanSeconds();
    Summary.FastestMeanSeconds = Count == 0 ? Mean : std::min(Summary.FastestMeanSeconds, Mean);
    SlowdownSum += Target->ResponseTime.slowdown();
    ++Count;
  }
  Summary.ReportsCount = Reported <= MaxReportedShare * Accepting;
  Summary.Overloaded = Count > 0 && SlowdownSum / Count > OverloadThreshold;
  return Summary;
}

int target_chooser::rank(const target &Target, const target *Avoided, const local_summary &Summary,
                         instant Now) {
  int Rank = Target.Local || Summary.Overloaded ? 0 : 1;
  if (&Target == Avoided)
    Rank += 2;
  if (Target.Health.suspected(Now) || Target.Health.handshakeOverdue(Now) ||
      (Summary.ReportsCount && Target.reported(Now)) || (Target.removed() && !Target.Lapsed))
    Rank += 4;
  if (Target.foundDead(Now))
    Rank += 8;
  return Rank;
}

double target_chooser::load(const target &Target, const local_summary &Summary, instant Now) {
  double Load = static_cast<double>(Target.OpenFlows + 1) / Target.Registration.Slots;
  if (Now < Target.WarmUpEndsAt)
    Load *= WarmUpFactor;
  if (!Target.Local)
    Load *= RemoteFactor;
  if (Target.failing(Now))
    Load *= FailingFactor;
  if (Summary.FastestMeanSeconds > 0 && Target.ResponseTime.valid(Now)) {
    const double Slowness = Target.ResponseTime.meanSeconds() / Summary.FastestMeanSeconds;
    if (Slowness > SlowThreshold)
      Load *= Slowness;
  }
  return Load;
}

bool target_chooser::isCandidate(const target &Target, instant Now) {
  if (!Target.acceptsFlows(Now))
    return false;
  const bool Allowed = WarmUp == nullptr || WarmUp->allows(Target, Now);
  WarmUpLimited = WarmUpLimited || !Allowed;
  return Allowed;
}

target *target_chooser::choose(std::span<target *const> Targets, const target *Avoided,
                               instant Now) {
  local_summary Summary = summariseLocal(Targets, Now);
  WarmUpLimited = false;
  bool Pressed = false;
  if (Pooled != nullptr && Pooled->valid(Now) && Pooled->covers(Targets, Now)) {
    Pressed = load_spill::localPressure(Pooled->dataCentres(Targets, Now)) > 0;
    // Pooled load tells more about the own data centre than this balancer's response times.
    Summary.Overloaded = false;
  }
  target *Chosen = Pressed ? chooseByPooledLoad(Targets, Avoided, Summary, Now)
                           : chooseLeastLoaded(Targets, Avoided, Summary, Now);
  if (WarmUpLimited)
    WarmUp->onRefused();
  if (WarmUp != nullptr && Chosen != nullptr)
    WarmUp->onAssigned(*Chosen, Now);
  return Chosen;
}

target *target_chooser::chooseLeastLoaded(std::span<target *const> Targets, const target *Avoided,
                                          const local_summary &Summary, instant Now) {
  target *Best = nullptr;
  int BestRank = 0;
  double BestLoad = 0;
  std::uint64_t Ties = 0;
  for (target *Candidate : Targets) {
    if (!isCandidate(*Candidate, Now))
      continue;
    const int Rank = rank(*Candidate, Avoided, Summary, Now);
    const double Load = load(*Candidate, Summary, Now);
    const bool Better = Best == nullptr || Rank < BestRank || (Rank == BestRank && Load < BestLoad);
    const bool Tie = !Better && Rank == BestRank && Load == BestLoad;
    if (!Better && !Tie)
      continue;
    Ties = Better ? 1 : Ties + 1;
    // Each of n equal candidates is kept with probability 1/n.
    if (Better || Random.below(Ties) == 0) {
      Best = Candidate;
      BestRank = Rank;
      BestLoad = Load;
    }
  }
  return Best;
}

std::size_t target_chooser::drawIndex(std::span<const double> Weights) {
  double Point = Random.unit() * std::accumulate(Weights.begin(), Weights.end(), 0.0);
  std::size_t Last = 0;
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    if (Weights[I] <= 0)
      continue;
    Last = I;
    Point -= Weights[I];
    if (Point < 0)
      break;
  }
  return Last;
}

target *target_chooser::chooseByPooledLoad(std::span<target *const> Targets, const target *Avoided,
                                           local_summary Summary, instant Now) {
  // The data centre is chosen below, so it doesn't affect the rank.
  Summary.Overloaded = true;
  std::vector<target *> Best;
  int BestRank = 0;
  for (target *Candidate : Targets) {
    if (!isCandidate(*Candidate, Now))
      continue;
    const int Rank = rank(*Candidate, Avoided, Summary, Now);
    if (!Best.empty() && Rank > BestRank)
      continue;
    if (Rank < BestRank)
      Best.clear();
    BestRank = Rank;
    Best.push_back(Candidate);
  }
  if (Best.empty())
    return nullptr;

  // Data centres without such a target get no flow. If the others have no share either, the flow is
  // divided among them by slots.
  const std::vector<data_centre_load> Loads = Pooled->dataCentres(Targets, Now);
  std::vector<double> Shares = load_spill::shares(Loads);
  std::vector<double> BestSlots(Loads.size());
  bool LocalUsable = false;
  const auto IndexOf = [&](const target &Target) {
    const auto Found = std::find_if(Loads.begin(), Loads.end(), [&](const data_centre_load &Load) {
      return Load.DataCentre == Target.Registration.DataCentre;
    });
    return static_cast<std::size_t>(Found - Loads.begin());
  };
  for (const target *Candidate : Best) {
    BestSlots[IndexOf(*Candidate)] += Candidate->Registration.Slots;
    LocalUsable = LocalUsable || Candidate->Local;
  }
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Shares[I] = BestSlots[I] > 0 ? Shares[I] : 0;
  if (std::accumulate(Shares.begin(), Shares.end(), 0.0) <= 0)
    Shares = BestSlots;
  const std::size_t Chosen = drawIndex(Shares);
  std::erase_if(Best, [&](const target *Candidate) { return IndexOf(*Candidate) != Chosen; });
  SpilledFlows += LocalUsable && !Loads[Chosen].Local ? 1U : 0U;

  std::vector<double> Slots;
  Slots.reserve(Best.size());
  for (const target *Candidate : Best)
    Slots.push_back(Candidate->Registration.Slots);
  target *First = Best[drawIndex(Slots)];
  target *Second = Best[drawIndex(Slots)];
  return load(*Second, Summary, Now) < load(*First, Summary, Now) ? Second : First;
}

} // namespace briarpoint
