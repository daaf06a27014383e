#include "core/target/load_weight.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace briarpoint {

namespace {

/// Cost relative to the reference above which a target becomes slow.
constexpr double SlowCostRatio = 1.25;
/// Divided by the square root of the averaged steps and added to SlowCostRatio, because one report
/// of a target with 3 slots scatters by half of its value.
constexpr double SlowScatterMargin = 2.0;
/// Relative cost at which a slow target has recovered.
constexpr double RecoveredCostRatio = 1.10;
/// How long a deviation must last to change the state.
constexpr duration SwitchDelay = std::chrono::seconds(10);
/// Steps that the cost of a target must be averaged over before the target can become slow.
constexpr std::uint32_t MinSlowSteps = 25;
/// Further steps don't reduce the scatter margin.
constexpr std::uint32_t MaxScatterSteps = 400;
/// Share of the difference to the desired weight that one step removes.
constexpr double WeightGain = 0.1;
/// The same for the cost: small, because reports scatter and may repeat the same sample; larger
/// for a change above LargeCostChange (relative), which scatter doesn't explain.
constexpr double CostGain = 0.01;
constexpr double FastCostGain = 0.05;
constexpr double LargeCostChange = 0.5;
/// Above this slot use the reports understate the load, so the cost settles.
constexpr double SaturatedUse = 0.8;
/// Assumed ratio of actual to reported load of a target whose slot use is above FullUse. Without it
/// the weight falls by small steps only, each of which takes the lifetime of the connections.
constexpr double FullUse = 0.9;
constexpr double HiddenLoadFactor = 1.5;
/// While the cost settles, it is averaged over at most MaxSettlingSteps until the smoothed reports
/// show the present load.
constexpr duration SettlingPeriod = std::chrono::seconds(100);
constexpr std::uint32_t MaxSettlingSteps = 25;
/// Below this mean slot use no target is overloaded, and cost ratios of small numbers are noise.
constexpr double IdleUse = 0.05;

double costOf(const load_weight &Target) {
  // Without reported connections, their number is assumed to be in proportion to the weight.
  const double Share = Target.Connections >= 1 ? Target.Connections : Target.Weight;
  const double HiddenFactor = Target.SlotUse > FullUse ? HiddenLoadFactor : 1.0;
  return Target.SlotUse * HiddenFactor / Share;
}

void updateCost(load_weight &Target, instant Now) {
  const double Cost = costOf(Target);
  const bool IsLarge = std::abs(Cost - Target.Cost) > LargeCostChange * Target.Cost;
  ++Target.Steps;
  if (Target.SlotUse > SaturatedUse)
    Target.SettledAt = Now + SettlingPeriod;
  if (Now < Target.SettledAt)
    Target.Steps = std::min(Target.Steps, MaxSettlingSteps);
  Target.Cost +=
      std::max(1.0 / Target.Steps, IsLarge ? FastCostGain : CostGain) * (Cost - Target.Cost);
}

void updateSlow(load_weight &Target, double Relative, instant Now) {
  const double Margin = SlowScatterMargin / std::sqrt(std::min(Target.Steps, MaxScatterSteps));
  const bool ShouldBeSlow = Target.IsSlow
                                ? Relative > RecoveredCostRatio
                                : Target.Steps >= MinSlowSteps && Relative > SlowCostRatio + Margin;
  if (ShouldBeSlow == Target.IsSlow)
    Target.SwitchAt = Never;
  else if (Target.SwitchAt == Never)
    Target.SwitchAt = Now + SwitchDelay;
  else if (Now >= Target.SwitchAt) {
    Target.IsSlow = ShouldBeSlow;
    Target.SettledAt = Now + SettlingPeriod;
    Target.SwitchAt = Never;
  }
}

} // namespace

void adjustLoadWeights(std::span<load_weight *const> Targets, instant Now) {
  // The reference is the lower quartile of the costs: it belongs to a normal target even if most
  // targets are slow.
  std::vector<double> Costs;
  double Use = 0;
  for (load_weight *Target : Targets) {
    if (!Target->HasReport)
      continue;
    updateCost(*Target, Now);
    Costs.push_back(Target->Cost);
    Use += Target->SlotUse;
  }
  const bool Idle = Costs.size() < 2 || Use / static_cast<double>(Costs.size()) < IdleUse;
  std::sort(Costs.begin(), Costs.end());
  const double Reference = Costs.empty() ? 0 : Costs[Costs.size() / 4];

  for (load_weight *Target : Targets) {
    double DesiredWeight = 1.0;
    if (!Idle && Target->HasReport && Reference > 0) {
      const double Relative = Target->Cost / Reference;
      updateSlow(*Target, Relative, Now);
      if (Target->IsSlow)
        DesiredWeight = std::clamp(1.0 / Relative, MinLoadWeight, 1.0);
    }
    Target->Weight += WeightGain * (DesiredWeight - Target->Weight);
    if (Target->Weight > 0.995)
      Target->Weight = 1.0;
  }
}

} // namespace briarpoint
