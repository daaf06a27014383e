#include "forward/target_chooser.h"

namespace briarpoint {

namespace {

/// Order of preference before load counts; lower is better.
int rank(const target &Target, const target *Except, instant Now) {
  int Rank = Target.Local ? 0 : 1;
  if (&Target == Except)
    Rank += 2;
  if (Target.Health.suspected(Now) || Target.Health.doubted(Now) ||
      (Target.removed() && !Target.Lapsed))
    Rank += 4;
  return Rank;
}

double load(const target &Target, instant Now) {
  const double Factor = Now < Target.WarmAt ? target_chooser::WarmUpFactor : 1.0;
  return Factor * (Target.OpenFlows + 1) / Target.Registration.Slots;
}

} // namespace

target *target_chooser::choose(std::span<target *const> Targets, const target *Except,
                               instant Now) {
  target *Best = nullptr;
  int BestRank = 0;
  double BestLoad = 0;
  std::uint64_t Ties = 0;
  for (target *Candidate : Targets) {
    if (!Candidate->accepts(Now))
      continue;
    const int Rank = rank(*Candidate, Except, Now);
    const double Load = load(*Candidate, Now);
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

} // namespace briarpoint
