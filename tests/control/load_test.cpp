#include "tests/control/fleet_support.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>

namespace briarpoint::test {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t TargetCount = 14;
constexpr std::uint32_t Slots = 3;

/// Targets whose load follows the weights of the views: flows live 25 s on average, requests are
/// independent, and reports are 5 s old.
class target_model {
public:
  target_model(fleet &Fleet, std::vector<double> Costs) : Fleet(Fleet), Costs(std::move(Costs)) {
    Connections.assign(TargetCount, 4000.0 / TargetCount);
    History.resize(TargetCount);
    for (std::size_t I = 0; I < TargetCount; ++I) {
      fake_target &Target = Fleet.Targets[gateTarget(I)];
      Target.Slots = Slots;
      Target.SlotsInUse = [this, I] { return History[I].empty() ? 0 : History[I].front().first; };
      Target.Connections = [this, I] { return History[I].empty() ? 0 : History[I].front().second; };
    }
  }

  /// Advances the model by one second.
  void step() {
    const forwarding_view &View = *Fleet.at(0).View;
    double Sum = 0;
    for (std::size_t I = 0; I < TargetCount; ++I)
      Sum += View.findTarget(gateTarget(I))->Weight;
    for (std::size_t I = 0; I < TargetCount; ++I) {
      const double Share = View.findTarget(gateTarget(I))->Weight / Sum;
      Connections[I] += (4000.0 * Share - Connections[I]) / 25;
      std::uint32_t InUse = 0;
      for (std::uint32_t Slot = 0; Slot < Slots; ++Slot)
        InUse += Fleet.Random.unit() < slotUse(I) ? 1 : 0;
      History[I].emplace_back(InUse, static_cast<std::uint32_t>(Connections[I]));
      if (History[I].size() > 5)
        History[I].pop_front();
    }
  }

  /// Largest expected slot use relative to the mean.
  double imbalance() const {
    std::vector<double> Uses;
    for (std::size_t I = 0; I < TargetCount; ++I)
      Uses.push_back(Connections[I] * Costs[I] / (4000.0 / TargetCount));
    const double Mean = std::accumulate(Uses.begin(), Uses.end(), 0.0) / TargetCount;
    return *std::max_element(Uses.begin(), Uses.end()) / Mean;
  }

private:
  double slotUse(std::size_t I) const { return Connections[I] * Costs[I] / (4000.0 / TargetCount); }

  fleet &Fleet;
  /// Slot use of each target at an equal share of the connections.
  std::vector<double> Costs;
  std::vector<double> Connections;
  std::vector<std::deque<std::pair<std::uint32_t, std::uint32_t>>> History;
};

class loaded_fleet : public testing::TestWithParam<std::uint64_t> {
protected:
  loaded_fleet() : Fleet(GetParam()) {
    Fleet.addMany(18, 3);
    for (std::size_t I = 0; I < TargetCount; ++I)
      Fleet.Targets[gateTarget(I)] = {};
    Fleet.runUntil([&] { return Fleet.allReady(); }, seconds(30));
    Fleet.submit(0, gatePatch(TargetCount, Slots));
    Fleet.runUntil([&] { return Fleet.allHaveVersion(1); }, seconds(10));
    Fleet.run(seconds(5));
  }

  fleet Fleet;
};

INSTANTIATE_TEST_SUITE_P(seeds, loaded_fleet, testing::Values(11, 12, 13));

// Guards against slow targets that are overloaded, and against weights that oscillate because
// reports are old.
TEST_P(loaded_fleet, SlowTargetsGetTheirShareWithoutOscillation) {
  std::vector<double> Costs(TargetCount, 0.5);
  Costs[2] = Costs[9] = 1.5;
  target_model Model(Fleet, Costs);
  ASSERT_GT(Model.imbalance(), 2.0);
  for (int Second = 0; Second < 180; ++Second) {
    Fleet.run(seconds(1));
    Model.step();
  }
  double Worst = 0;
  for (int Second = 0; Second < 1200; ++Second) {
    Fleet.run(seconds(1));
    Model.step();
    Worst = std::max(Worst, Model.imbalance());
  }
  RecordProperty("worst_imbalance_percent", static_cast<int>(Worst * 100));
  EXPECT_LE(Worst, 1.15);
}

// Guards against noisy reports that unbalance equal targets, and against control traffic above the
// bound.
TEST_P(loaded_fleet, EqualTargetsKeepEqualWeightsWithinTheControlTraffic) {
  target_model Model(Fleet, std::vector<double>(TargetCount, 0.4));
  Fleet.run(seconds(10));
  Fleet.CountBytes = true;
  constexpr int Seconds = 1200;
  double Worst = 0;
  for (int Second = 0; Second < Seconds; ++Second) {
    Fleet.run(seconds(1));
    Model.step();
    Worst = std::max(Worst, Model.imbalance());
  }
  EXPECT_LE(Worst, 1.015);
  std::uint64_t Largest = 0;
  for (const auto &[Index, Bytes] : Fleet.BytesSent)
    Largest = std::max(Largest, Bytes / Seconds);
  RecordProperty("bytes_per_second", static_cast<int>(Largest));
  EXPECT_LE(Largest, 4096U);
}

// Guards against control traffic above the bound while members and targets keep changing.
TEST_P(loaded_fleet, ControlTrafficStaysWithinTheBoundDuringChanges) {
  target_model Model(Fleet, std::vector<double>(TargetCount, 0.4));
  Fleet.CountBytes = true;
  Fleet.LossRate = 0.05;
  constexpr int Seconds = 600;
  for (int Second = 0; Second < Seconds; ++Second) {
    Fleet.run(seconds(1));
    Model.step();
    // Every minute a target starts or stops draining, and every two minutes a balancer crashes.
    if (Second % 60 == 30) {
      fake_target &Target = Fleet.Targets[gateTarget(static_cast<std::size_t>(Second) / 120)];
      Target.Draining = !Target.Draining;
    }
    if (Second % 120 == 50)
      Fleet.crash(3 + static_cast<std::size_t>(Second) / 120);
    if (Second % 120 == 80)
      Fleet.restart(3 + static_cast<std::size_t>(Second) / 120);
  }
  std::uint64_t Sum = 0;
  for (const auto &[Index, Bytes] : Fleet.BytesSent)
    Sum += Bytes;
  const std::uint64_t Mean = Sum / Seconds / 18;
  RecordProperty("bytes_per_second", static_cast<int>(Mean));
  EXPECT_LE(Mean, 4096U);
}

} // namespace
} // namespace briarpoint::test
