#include "core/data/target_selector.h"

#include "base/seeded_random.h"

#include <gtest/gtest.h>
#include <numeric>

namespace briarpoint {
namespace {

/// A service with some targets, and a selector.
class service_with_targets : public ::testing::Test {
protected:
  void setTargets(std::size_t Count) {
    Parts.Targets.clear();
    service_view Service{service_id{1}, "gate", {}, {}, {}};
    for (std::uint32_t I = 0; I < Count; ++I) {
      endpoint Tunnel;
      Tunnel.Port = static_cast<std::uint16_t>(I + 1);
      Parts.Targets.push_back({target_id{I + 1}, Service.Id, Tunnel});
      Service.Targets.push_back(I);
    }
    Parts.Services = {Service};
    publish();
  }
  void publish() {
    View = forwarding_view(Parts);
    Targets.applyView(View);
  }
  static flow_id flow(std::uint64_t Number) { return {mixHash(Number, 1), mixHash(Number, 2)}; }
  std::uint32_t choose(std::uint64_t Number, std::span<const std::uint32_t> Tried = {}) {
    return Selector.choose(View.services()[0], flow(Number), Tried, Now);
  }
  std::vector<std::uint32_t> counts() {
    std::vector<std::uint32_t> Counts;
    for (const target_view &Target : View.targets())
      Counts.push_back(Targets[Targets.indexOf(Target.Id)].OpenFlows);
    return Counts;
  }

  forwarding_view_parts Parts;
  forwarding_view View;
  target_directory Targets;
  seeded_random Random{1};
  target_selector Selector{Targets, Random, 0.01};
  instant Now = instant(std::chrono::hours(1));
};

// Guards against a load above the bound while flows open and close at random.
TEST_F(service_with_targets, LoadStaysWithinTheBound) {
  setTargets(14);
  std::vector<std::uint32_t> Open;
  for (std::uint64_t I = 0; I < 20000; ++I) {
    const std::uint32_t Target = choose(I);
    ++Targets[Target].OpenFlows;
    Open.push_back(Target);
    if (Open.size() > 4300) {
      std::swap(Open[Random.below(Open.size())], Open.back());
      --Targets[Open.back()].OpenFlows;
      Open.pop_back();
    }
    // Before the choice the target's load was below 1.01 times the mean.
    const double Mean = static_cast<double>(Open.size()) / 14;
    ASSERT_LE(Targets[Target].OpenFlows, 1.01 * Mean + 2);
  }
}

// Guards against flows that reach another target when their record is lost: most flows (more than
// half; a random choice would give 7%) are at their default target, which is found without a
// record.
TEST_F(service_with_targets, MostFlowsAreAtTheDefaultTarget) {
  setTargets(14);
  std::size_t AtDefault = 0;
  for (std::uint64_t I = 0; I < 4300; ++I) {
    const std::uint32_t Target = choose(I);
    ++Targets[Target].OpenFlows;
    AtDefault += Target == Selector.defaultTarget(View.services()[0], flow(I)) ? 1 : 0;
  }
  EXPECT_GT(AtDefault, 4300U / 2);
}

// Guards against shares of new flows that don't match the weights.
TEST_F(service_with_targets, FlowsFollowTheWeights) {
  setTargets(4);
  Parts.Targets[0].Weight = 0.1;
  Parts.Targets[1].Weight = 0.5;
  publish();
  for (std::uint64_t I = 0; I < 2600; ++I)
    ++Targets[choose(I)].OpenFlows;
  const std::vector<std::uint32_t> Counts = counts();
  // 2,600 flows in the ratio 0.1 : 0.5 : 1 : 1.
  const std::uint32_t Expected[] = {100, 500, 1000, 1000};
  for (std::size_t I = 0; I < 4; ++I) {
    SCOPED_TRACE(I);
    EXPECT_NEAR(Counts[I], Expected[I], 0.02 * Expected[I] + 1);
  }
}

struct choice_case {
  const char *Name;
  void (*Change)(target_view &First);
  bool MayBeChosen;
};

// Guards against new flows at a target that doesn't accept any.
TEST_F(service_with_targets, OnlyTargetsThatAcceptNewFlowsAreChosen) {
  const choice_case Table[] = {
      {"healthy", [](target_view &) {}, true},
      {"draining", [](target_view &Target) { Target.AcceptsNew = false; }, false},
      {"dead", [](target_view &Target) { Target.Dead = true; }, false},
  };
  for (const choice_case &Case : Table) {
    SCOPED_TRACE(Case.Name);
    setTargets(3);
    Case.Change(Parts.Targets[0]);
    publish();
    std::size_t Chosen = 0;
    for (std::uint64_t I = 0; I < 200; ++I)
      Chosen += Targets[choose(I)].Id == target_id{1} ? 1 : 0;
    EXPECT_EQ(Chosen > 0, Case.MayBeChosen);
  }
  for (target_view &Target : Parts.Targets)
    Target.AcceptsNew = false;
  publish();
  EXPECT_EQ(choose(1), NoIndex);
}

// Guards against a retry at a target that was already tried.
TEST_F(service_with_targets, TriedTargetsAreExcluded) {
  setTargets(3);
  std::vector<std::uint32_t> Tried;
  for (int I = 0; I < 3; ++I) {
    const std::uint32_t Target = choose(7, Tried);
    EXPECT_EQ(std::count(Tried.begin(), Tried.end(), Target), 0);
    Tried.push_back(Target);
  }
  EXPECT_EQ(choose(7, Tried), NoIndex);
}

struct failing_case {
  std::size_t Targets;
  std::size_t Failing;
  /// Number of targets that get flows.
  std::size_t Used;
};

// Guards against excluding so many failing targets that the others are overloaded.
TEST_F(service_with_targets, AtMostAThirdIsExcludedForFailures) {
  const failing_case Table[] = {{6, 0, 6}, {6, 1, 5}, {6, 2, 4}, {6, 3, 4},
                                {6, 6, 4}, {2, 1, 2}, {1, 1, 1}, {3, 3, 2}};
  for (const failing_case &Case : Table) {
    SCOPED_TRACE(Case.Targets);
    SCOPED_TRACE(Case.Failing);
    setTargets(Case.Targets);
    std::vector<bool> Used(20);
    for (std::size_t I = 0; I < Case.Targets; ++I) {
      const std::uint32_t Target = Targets.indexOf(target_id{I + 1});
      Selector.recordSuccess(Target);
      Targets[Target].OpenFlows = 0;
      // Repeats failures until the random backoff is at least 1 ms. The clock doesn't advance.
      while (I < Case.Failing && Targets[Target].BackoffUntil < Now + duration(1000000))
        Selector.recordFailure(Target, Now);
    }
    for (std::uint64_t I = 0; I < 300; ++I) {
      const std::uint32_t Target = choose(I);
      ++Targets[Target].OpenFlows;
      Used[Target] = true;
    }
    EXPECT_EQ(std::count(Used.begin(), Used.end(), true), static_cast<std::ptrdiff_t>(Case.Used));
  }
}

// Guards against a backoff that exceeds its limit, doesn't grow, or isn't spread over its range.
TEST_F(service_with_targets, BackoffGrowsWithFullJitterUpToItsLimit) {
  setTargets(3);
  for (std::uint32_t Failures = 1; Failures <= 20; ++Failures) {
    const double Bound = 0.1 * (1U << std::min(Failures - 1, 7U));
    double Longest = 0;
    double Shortest = 1000;
    for (int Sample = 0; Sample < 200; ++Sample) {
      Selector.recordSuccess(0);
      for (std::uint32_t I = 0; I < Failures; ++I)
        Selector.recordFailure(0, Now);
      const double Wait = std::chrono::duration<double>(Targets[0].BackoffUntil - Now).count();
      Longest = std::max(Longest, Wait);
      Shortest = std::min(Shortest, Wait);
    }
    SCOPED_TRACE(Failures);
    EXPECT_LE(Longest, Bound + 1e-9);
    EXPECT_GT(Longest, 0.9 * Bound);
    EXPECT_LT(Shortest, 0.1 * Bound);
  }
}

// Guards against a new target that inherits the counts of a removed one through a reused index.
TEST_F(service_with_targets, StateOfARemovedTargetIsKeptWhileFlowsReferToIt) {
  setTargets(3);
  const std::uint32_t Removed = Targets.indexOf(target_id{3});
  Targets[Removed].Entries = 1;
  Targets[Removed].OpenFlows = 1;
  setTargets(2);
  EXPECT_EQ(Targets[Removed].View, nullptr);
  EXPECT_EQ(Targets.indexOf(target_id{3}), Removed);
  Targets[Removed].Entries = 0;
  setTargets(2);
  const std::uint32_t Reused = Targets.indexOf(target_id{99});
  EXPECT_EQ(Reused, Removed);
  EXPECT_EQ(Targets[Reused].OpenFlows, 0U);
}

} // namespace
} // namespace briarpoint
