#include "forward/target_chooser.h"

#include <algorithm>

namespace briarpoint {

target_chooser::local_view target_chooser::viewLocal(std::span<target *const> Targets,
                                                     instant Now) {
  local_view View;
  double Stretch = 0;
  int Known = 0;
  for (const target *Target : Targets) {
    if (!Target->Local || !Target->accepts(Now) || !Target->ResponseTime.known(Now))
      continue;
    const double Mean = Target->ResponseTime.mean();
    View.Fastest = Known == 0 ? Mean : std::min(View.Fastest, Mean);
    Stretch += Target->ResponseTime.stretch();
    ++Known;
  }
  View.Overloaded = Known > 0 && Stretch / Known > OverloadFactor;
  return View;
}

int target_chooser::rank(const target &Target, const target *Except, const local_view &View,
                         instant Now) {
  int Rank = Target.Local || View.Overloaded ? 0 : 1;
  if (&Target == Except)
    Rank += 2;
  if (Target.Health.suspected(Now) || Target.Health.handshakeOverdue(Now) ||
      (Target.removed() && !Target.Lapsed))
    Rank += 4;
  return Rank;
}

double target_chooser::load(const target &Target, const local_view &View, instant Now) {
  double Load = static_cast<double>(Target.OpenFlows + 1) / Target.Registration.Slots;
  if (Now < Target.WarmAt)
    Load *= WarmUpFactor;
  if (!Target.Local)
    Load *= DistanceFactor;
  if (View.Fastest > 0 && Target.ResponseTime.known(Now)) {
    const double Slowness = Target.ResponseTime.mean() / View.Fastest;
    if (Slowness > SlowFactor)
      Load *= Slowness;
  }
  return Load;
}

target *target_chooser::choose(std::span<target *const> Targets, const target *Except,
                               instant Now) {
  const local_view View = viewLocal(Targets, Now);
  target *Best = nullptr;
  int BestRank = 0;
  double BestLoad = 0;
  std::uint64_t Ties = 0;
  for (target *Candidate : Targets) {
    if (!Candidate->accepts(Now))
      continue;
    const int Rank = rank(*Candidate, Except, View, Now);
    const double Load = load(*Candidate, View, Now);
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
