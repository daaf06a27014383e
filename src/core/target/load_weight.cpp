#include "core/target/load_weight.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace briarpoint {

namespace {

/// Relative cost at which a target counts as slower: more for a cost that was averaged over few
/// steps, because one report of a target with 3 slots scatters by half of its value. And the
/// relative cost at which it no longer counts as slower.
constexpr double EngageAbove = 1.25;
constexpr double EngageScatter = 2.0;
constexpr double ReleaseBelow = 1.10;
/// How long the deviation must last, and how many steps the cost must have been averaged over.
constexpr duration EngageDelay = std::chrono::seconds(10);
constexpr std::uint32_t EngageSteps = 25;
constexpr std::uint32_t MaxScatterSteps = 400;
/// Share of the difference that one step removes from the weight.
constexpr double WeightGain = 0.1;
/// The same for the cost: small, because reports scatter and may repeat the same sample; larger
/// after a change that scatter can't explain.
constexpr double CostGain = 0.01;
constexpr double FastCostGain = 0.05;
constexpr double LargeChange = 0.5;
/// Above this use the reports hide a part of the load. Until it has fallen and the smoothed reports
/// show it, the cost is averaged over few steps only.
constexpr double SaturatedUse = 0.8;
constexpr double FullUse = 0.9;
/// Assumed ratio of actual to reported load of a target without free slots. Without it the weight
/// falls by small steps only, each of which takes the lifetime of the connections.
constexpr double HiddenLoad = 1.5;
constexpr duration SettleTime = std::chrono::seconds(100);
constexpr std::uint32_t SettlingSteps = 25;
/// Below this mean use nothing is overloaded, and a ratio of small numbers means little.
constexpr double IdleUse = 0.05;

double costOf(const load_weight &Target) {
  // Without a count of connections the weight stands for the share of them.
  const double Share = Target.Connections >= 1 ? Target.Connections : Target.Weight;
  const double Hidden = Target.SlotUse > FullUse ? HiddenLoad : 1.0;
  return Target.SlotUse * Hidden / Share;
}

void updateCost(load_weight &Target, instant Now) {
  const double Cost = costOf(Target);
  const bool IsLarge = std::abs(Cost - Target.Cost) > LargeChange * Target.Cost;
  ++Target.Steps;
  if (Target.SlotUse > SaturatedUse)
    Target.SettledAt = Now + SettleTime;
  if (Now < Target.SettledAt)
    Target.Steps = std::min(Target.Steps, SettlingSteps);
  Target.Cost +=
      std::max(1.0 / Target.Steps, IsLarge ? FastCostGain : CostGain) * (Cost - Target.Cost);
}

void updateEngaged(load_weight &Target, double Relative, instant Now) {
  const double Scatter = EngageScatter / std::sqrt(std::min(Target.Steps, MaxScatterSteps));
  const bool Wanted = Target.Engaged
                          ? Relative > ReleaseBelow
                          : Target.Steps >= EngageSteps && Relative > EngageAbove + Scatter;
  if (Wanted == Target.Engaged)
    Target.SwitchAt = Never;
  else if (Target.SwitchAt == Never)
    Target.SwitchAt = Now + EngageDelay;
  else if (Now >= Target.SwitchAt) {
    Target.Engaged = Wanted;
    Target.SettledAt = Now + SettleTime;
    Target.SwitchAt = Never;
  }
}

} // namespace

void adjustLoadWeights(std::span<load_weight *const> Targets, instant Now) {
  // The reference is the lower quartile of the costs, so that it belongs to a normal target even if
  // most targets are slow.
  std::vector<double> Costs;
  double Use = 0;
  for (load_weight *Target : Targets) {
    if (!Target->Reported)
      continue;
    updateCost(*Target, Now);
    Costs.push_back(Target->Cost);
    Use += Target->SlotUse;
  }
  const bool Idle = Costs.size() < 2 || Use / static_cast<double>(Costs.size()) < IdleUse;
  std::sort(Costs.begin(), Costs.end());
  const double Reference = Costs.empty() ? 0 : Costs[Costs.size() / 4];

  for (load_weight *Target : Targets) {
    double Wanted = 1.0;
    if (!Idle && Target->Reported && Reference > 0) {
      const double Relative = Target->Cost / Reference;
      updateEngaged(*Target, Relative, Now);
      if (Target->Engaged)
        Wanted = std::clamp(1.0 / Relative, MinLoadWeight, 1.0);
    }
    Target->Weight += WeightGain * (Wanted - Target->Weight);
    if (Target->Weight > 0.995)
      Target->Weight = 1.0;
  }
}

} // namespace briarpoint
