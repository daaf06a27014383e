#include "core/target/load_weight.h"

#include <algorithm>
#include <vector>

namespace briarpoint {

namespace {

/// Relative cost at which a target counts as slower, and at which it no longer does. Reports of
/// equal hosts scatter by about 5% around their mean.
constexpr double EngageAbove = 1.30;
constexpr double ReleaseBelow = 1.10;
/// How long the deviation must last.
constexpr duration EngageDelay = std::chrono::seconds(8);
/// Share of the difference that one step removes.
constexpr double StepGain = 0.1;
/// Below this mean use nothing is overloaded, and a ratio of small numbers means little.
constexpr double IdleUse = 0.05;

double costOf(const load_weight &Target) {
  // Without a count of connections the weight stands for the share of them.
  const double Share = Target.Connections >= 1 ? Target.Connections : Target.Weight;
  return Target.SlotUse / Share;
}

void updateEngaged(load_weight &Target, double Relative, instant Now) {
  const bool Wanted = Target.Engaged ? Relative > ReleaseBelow : Relative > EngageAbove;
  if (Wanted == Target.Engaged)
    Target.SwitchAt = Never;
  else if (Target.SwitchAt == Never)
    Target.SwitchAt = Now + EngageDelay;
  else if (Now >= Target.SwitchAt) {
    Target.Engaged = Wanted;
    Target.SwitchAt = Never;
  }
}

} // namespace

void adjustLoadWeights(std::span<load_weight *const> Targets, instant Now) {
  // The reference is the lower quartile of the costs, so that it belongs to a normal target even if
  // most targets are slow.
  std::vector<double> Costs;
  double Use = 0;
  for (const load_weight *Target : Targets) {
    if (!Target->Reported)
      continue;
    Costs.push_back(costOf(*Target));
    Use += Target->SlotUse;
  }
  const bool Idle = Costs.size() < 2 || Use / static_cast<double>(Costs.size()) < IdleUse;
  std::sort(Costs.begin(), Costs.end());
  const double Reference = Costs.empty() ? 0 : Costs[Costs.size() / 4];

  for (load_weight *Target : Targets) {
    double Wanted = 1.0;
    if (!Idle && Target->Reported && Reference > 0) {
      const double Relative = costOf(*Target) / Reference;
      updateEngaged(*Target, Relative, Now);
      if (Target->Engaged)
        Wanted = std::clamp(1.0 / Relative, SmallestLoadWeight, 1.0);
    }
    Target->Weight += StepGain * (Wanted - Target->Weight);
    if (Target->Weight > 0.995)
      Target->Weight = 1.0;
  }
}

} // namespace briarpoint
