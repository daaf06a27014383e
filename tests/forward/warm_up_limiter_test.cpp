#include "forward/warm_up_limiter.h"

#include "tests/forward/forward_support.h"

#include <memory>

namespace briarpoint {
namespace {

constexpr double RatePerSecond = 20;
constexpr warm_up_settings Limits{1.5, 5};
/// floor(20 x 1.5 + 5).
constexpr std::size_t Allowance = 35;

ip_address addressOf(std::size_t Balancer) {
  ip_address Result;
  Result.Bytes = {10, 0, static_cast<std::uint8_t>(Balancer / 250),
                  static_cast<std::uint8_t>(Balancer % 250 + 1)};
  return Result;
}

/// Returns the addresses of \p Count balancers from \p First on.
std::vector<ip_address> addressesFrom(std::size_t First, std::size_t Count) {
  std::vector<ip_address> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(addressOf(First + I));
  return Result;
}

routing_configuration limitedWeb(double Rate) {
  routing_configuration Result{1, {{"web", {0xc6120001, 443}, 0, {{"web", 1}}}}, seconds(15)};
  Result.Services = {{"web", Rate}};
  return Result;
}

struct silent_observer final : flow_observer {
  void onOpened(duration) override {}
  void onAnswered(duration) override {}
};

/// One balancer process.
struct limited_balancer {
  limited_balancer(std::size_t Index, std::span<const ip_address> Seeds, double Rate, instant Now)
      : Random(Index + 1), Targets(target_registry_settings()),
        WarmUp(Limits, Routes, addressOf(Index), Now),
        Forwarder({}, Routes, Targets, Random, Observer, {nullptr, &WarmUp}) {
    Routes.apply(limitedWeb(Rate));
    WarmUp.setSeeds(Seeds, Now);
    Forwarder.setTargetsLoaded();
  }

  seeded_random Random;
  silent_observer Observer;
  route_table Routes;
  target_registry Targets;
  warm_up_limiter WarmUp;
  packet_forwarder Forwarder;
};

/// Balancers with cold and warm targets of one service. Each call of play() lets every balancer
/// open flows at a high rate and records when each cold target got one.
class cold_targets : public testing::TestWithParam<std::size_t> {
protected:
  static constexpr std::size_t ColdTargets = 2;

  cold_targets() {
    for (std::size_t I = 0; I < GetParam(); ++I)
      start(I, Seeds);
  }

  /// Starts a balancer, or replaces its process.
  void start(std::size_t Index, std::span<const ip_address> Known) {
    if (Index >= Balancers.size())
      Balancers.resize(Index + 1);
    Balancers[Index] = std::make_unique<limited_balancer>(Index, Known, Rate, Now);
    for (std::uint64_t Number = 1; Number <= ColdTargets + WarmTargets; ++Number)
      Balancers[Index]->Targets.put(entry(Number), Now);
  }
  static target_registration entry(std::uint64_t Number) {
    target_registration Result;
    Result.Name = "i-" + std::to_string(Number);
    Result.Number = Number;
    Result.Service = "web";
    Result.Revision = Number;
    Result.WarmUpMs = Number <= ColdTargets ? 600'000 : 0;
    return Result;
  }

  /// The callers of each balancer open flows every 20 ms, at least 500 a second together. Balancers
  /// from \p PausedFrom on are paused.
  void play(duration Time, std::size_t PausedFrom = ~std::size_t{0}) {
    for (const instant End = Now + Time; Now < End; Now += milliseconds(20))
      for (std::size_t I = 0; I < std::min(Balancers.size(), PausedFrom); ++I)
        for (std::size_t Flow = 0; Flow < 1 + 9 / GetParam(); ++Flow)
          open(*Balancers[I]);
  }
  void open(limited_balancer &Balancer) {
    caller_packet Packet;
    Packet.Flow = {{static_cast<std::uint32_t>(++Opened), 1024}, {0xc6120001, 443}};
    Packet.Opens = true;
    Packet.Sequence = 7;
    const forward_decision Decision = Balancer.Forwarder.decide(Packet, Now);
    if (Decision.Action == forward_action::Forward) {
      ++Forwarded;
      const std::uint64_t Number = Decision.Target->Registration.Number;
      if (Number <= ColdTargets)
        Arrivals[Number - 1].push_back(Now);
    } else {
      expectDecision(Decision, forward_action::Reset, forward_reason::WarmUpLimit);
    }
  }

  /// Returns the largest number of flows that a cold target got in any second.
  std::size_t largestSecond() const {
    std::size_t Largest = 0;
    for (const std::vector<instant> &Times : Arrivals)
      for (std::size_t First = 0, Next = 0; First < Times.size(); ++First) {
        while (Next < Times.size() && Times[Next] < Times[First] + seconds(1))
          ++Next;
        Largest = std::max(Largest, Next - First);
      }
    return Largest;
  }
  std::size_t arrivals() const { return Arrivals[0].size() + Arrivals[1].size(); }

  double Rate = RatePerSecond;
  std::size_t WarmTargets = 4;
  instant Now{seconds(100)};
  std::vector<ip_address> Seeds = addressesFrom(0, std::min<std::size_t>(GetParam(), 3));
  std::vector<std::unique_ptr<limited_balancer>> Balancers;
  std::array<std::vector<instant>, ColdTargets> Arrivals;
  std::uint64_t Opened = 0;
  std::uint64_t Forwarded = 0;
};

// Guards against a cold target that gets more flows than its service allows because each balancer
// knows only its own, and against warm targets that stop serving meanwhile.
TEST_P(cold_targets, getNoMoreFlowsThanAllowedInAnySecond) {
  play(seconds(4));
  EXPECT_LE(largestSecond(), Allowance);
  // The shares of the holders are used.
  EXPECT_GE(largestSecond(), Seeds.size() * (Allowance / (2 * Seeds.size())));
  EXPECT_EQ(Forwarded, Opened);
}

// Guards against shares of two lists of seeds whose sum is above the allowance while the settings
// change.
TEST_P(cold_targets, getNoMoreFlowsWhileTwoListsOfSeedsAreInUse) {
  const std::vector<ip_address> Later = addressesFrom(GetParam() / 2, (GetParam() + 1) / 2);
  play(seconds(2));
  for (std::size_t I = 0; I < Balancers.size(); I += 2)
    Balancers[I]->WarmUp.setSeeds(Later, Now);
  play(seconds(3));
  for (std::size_t I = 1; I < Balancers.size(); I += 2)
    Balancers[I]->WarmUp.setSeeds(Later, Now);
  play(seconds(2));
  EXPECT_LE(largestSecond(), Allowance);
  EXPECT_GT(arrivals(), 0U);
}

// Guards against a share that a balancer uses twice: once before and once after a restart.
TEST_P(cold_targets, getNoMoreFlowsFromBalancersThatRestart) {
  for (int Round = 0; Round < 4; ++Round) {
    play(milliseconds(1500));
    for (std::size_t I = 0; I < Balancers.size(); ++I)
      start(I, Seeds);
  }
  EXPECT_LE(largestSecond(), Allowance);
  EXPECT_GT(arrivals(), 0U);
}

// Guards against a balancer that makes up for the time of a pause.
TEST_P(cold_targets, getNoMoreFlowsFromBalancersThatWerePaused) {
  for (int Round = 0; Round < 3; ++Round) {
    play(milliseconds(1300));
    play(milliseconds(700), 1);
    Now += milliseconds(400);
  }
  EXPECT_LE(largestSecond(), Allowance);
  EXPECT_EQ(Forwarded, Opened);
}

// Guards against an entry that is removed and written again and brings a new allowance.
TEST_P(cold_targets, getNoMoreFlowsIfTheirEntryReturns) {
  for (int Round = 0; Round < 20; ++Round) {
    play(milliseconds(200));
    for (const auto &Balancer : Balancers)
      for (std::uint64_t Number = 1; Number <= ColdTargets; ++Number) {
        target_registration Entry = entry(Number);
        Entry.Revision = 100 + static_cast<std::uint64_t>(Round);
        Entry.StartedMs = static_cast<std::uint64_t>(Round);
        Balancer->Targets.put(Entry, Now);
      }
  }
  EXPECT_LE(largestSecond(), Allowance);
}

INSTANTIATE_TEST_SUITE_P(balancers, cold_targets, testing::Values(1, 24, 112, 300));

/// All targets are cold.
class only_cold_targets : public cold_targets {
protected:
  only_cold_targets() {
    WarmTargets = 0;
    for (std::size_t I = 0; I < GetParam(); ++I)
      start(I, Seeds);
  }
};

// Guards against callers that wait for a target that they can't get: they are reset at once, and
// the holders still use their shares.
TEST_P(only_cold_targets, getTheirAllowanceAndOtherFlowsAreReset) {
  play(seconds(4));
  EXPECT_LE(largestSecond(), Allowance);
  EXPECT_EQ(Forwarded, arrivals());
  EXPECT_GT(Forwarded, 0U);
  EXPECT_LT(Forwarded, Opened);
}

INSTANTIATE_TEST_SUITE_P(balancers, only_cold_targets, testing::Values(1, 24, 112, 300));

/// A balancer with one cold target whose service allows few flows.
class a_cold_target : public testing::Test {
protected:
  a_cold_target() { Targets.put(cold(), Now); }
  static target_registration cold() {
    target_registration Result;
    Result.Name = "i-1";
    Result.Number = 1;
    Result.Service = "web";
    Result.WarmUpMs = 60'000;
    return Result;
  }
  void configure(double Rate) {
    routing_configuration Configuration = limitedWeb(Rate);
    Configuration.Version = ++Version;
    Routes.apply(Configuration);
  }
  /// Returns how many of \p Seeds balancers may open a flow to the target.
  std::size_t balancersAllowed(std::size_t Seeds, const warm_up_settings &Settings) {
    std::size_t Result = 0;
    for (std::size_t I = 0; I < Seeds + 2; ++I) {
      warm_up_limiter WarmUp(Settings, Routes, addressOf(I), Now);
      WarmUp.setSeeds(addressesFrom(0, Seeds), Now);
      Result += WarmUp.allows(target(), Now + seconds(2)) ? 1U : 0U;
    }
    return Result;
  }
  const struct target &target() { return *Targets.find("i-1"); }

  instant Now{seconds(100)};
  std::uint64_t Version = 0;
  route_table Routes;
  target_registry Targets{target_registry_settings()};
};

// Guards against an allowance that is lost, or granted by every holder, if it is smaller than the
// number of holders.
TEST_F(a_cold_target, hasOneHolderIfTheShareIsZero) {
  configure(1);
  EXPECT_EQ(balancersAllowed(12, {1, 4}), 1U);
  EXPECT_EQ(balancersAllowed(12, {1, 1}), 1U);
  EXPECT_EQ(balancersAllowed(12, {1, 0.9}), 0U);
  EXPECT_EQ(balancersAllowed(12, {1, 23}), 12U);
  EXPECT_EQ(balancersAllowed(0, {1, 23}), 0U);
}

// Guards against a limit that nothing calls for: without a rate or without settings.
TEST_F(a_cold_target, isNotLimitedWithoutRateOrSettings) {
  configure(0);
  EXPECT_EQ(balancersAllowed(3, {1.5, 5}), 5U);
  configure(10);
  EXPECT_EQ(balancersAllowed(3, {}), 5U);
}

// Guards against grants within a second of the start or a change of the seeds, and against a limit
// that outlasts the warm-up.
TEST_F(a_cold_target, getsNothingInTheFirstSecond) {
  configure(10);
  warm_up_limiter WarmUp(Limits, Routes, addressOf(0), Now);
  WarmUp.setSeeds(addressesFrom(0, 2), Now);
  EXPECT_FALSE(WarmUp.allows(target(), Now + milliseconds(999)));
  EXPECT_TRUE(WarmUp.allows(target(), Now + seconds(1)));
  WarmUp.setSeeds(addressesFrom(0, 2), Now + seconds(2));
  EXPECT_TRUE(WarmUp.allows(target(), Now + seconds(2)));
  WarmUp.setSeeds(addressesFrom(0, 3), Now + seconds(2));
  EXPECT_FALSE(WarmUp.allows(target(), Now + milliseconds(2999)));
  WarmUp.setSeeds(addressesFrom(1, 3), Now + seconds(5));
  EXPECT_FALSE(WarmUp.allows(target(), Now + seconds(10)));
  EXPECT_TRUE(WarmUp.allows(target(), Now + seconds(60)));
}

// Guards against a limit that ends because the next version's entry can't be read.
TEST_F(a_cold_target, keepsTheLastReadableRate) {
  routing_configuration Odd = limitedWeb(0);
  Odd.Services.clear();
  Odd.RefusedServices = {{"web", "odd"}};
  Odd.Version = ++Version;
  Routes.apply(Odd);
  EXPECT_EQ(Routes.warmUpRate("web"), 0);
  configure(10);
  for (const char *Name : {"web", ""}) {
    Odd.RefusedServices = {{Name, "odd"}};
    Odd.Version = ++Version;
    Routes.apply(Odd);
    EXPECT_EQ(Routes.warmUpRate("web"), 10) << Name;
  }
  Odd.RefusedServices = {{"mail", "odd"}};
  Odd.Version = ++Version;
  Routes.apply(Odd);
  EXPECT_EQ(Routes.warmUpRate("web"), 0);
}

/// A balancer that isn't a holder, with one target that turns cold by a restart.
class opening_flows_to_a_cold_target : public a_cold_target {
protected:
  opening_flows_to_a_cold_target() { Balancer.Targets.put(warm(), Now); }
  static target_registration warm() {
    target_registration Result = cold();
    Result.WarmUpMs = 0;
    return Result;
  }
  void turnCold() {
    target_registration Entry = cold();
    Entry.Revision = 2;
    Balancer.Targets.put(Entry, Now);
  }
  forward_decision open(std::uint32_t Copies, instant ReceivedAt) {
    caller_packet Packet;
    Packet.Flow = {{1, 1024}, {0xc6120001, 443}};
    Packet.Opens = true;
    Packet.Sequence = 7;
    Packet.Acknowledged = Copies;
    return Balancer.Forwarder.decide(Packet, ReceivedAt, Now);
  }

  limited_balancer Balancer{5, addressesFrom(0, 2), RatePerSecond, Now};
};

// Guards against a reset that denies a request although a copy of its opening packet may have
// reached a target through another balancer.
TEST_F(opening_flows_to_a_cold_target, resetsOnlyFirstCopies) {
  turnCold();
  expectDecision(open(0, Now), forward_action::Reset, forward_reason::WarmUpLimit);
  expectDecision(open(1, Now), forward_action::Drop, forward_reason::WarmUpLimit);
  expectDecision(open(0, Now - milliseconds(1)), forward_action::Drop, forward_reason::WarmUpLimit);
}

// Guards against a repeat that is reset, or counted as a second flow, at the target that got the
// first copy.
TEST_F(opening_flows_to_a_cold_target, forwardsRepeatsToTheSameTarget) {
  expectDecision(open(0, Now), forward_action::Forward, forward_reason::Placed);
  turnCold();
  for (std::uint32_t Copies = 1; Copies <= 3; ++Copies) {
    Now += milliseconds(200U << Copies);
    expectDecision(open(Copies, Now), forward_action::Forward, forward_reason::PlacedAgain);
  }
  EXPECT_EQ(Balancer.WarmUp.granted(), 0U);
}

// Guards against a reset of a repeat whose target has begun to drain while all others are cold.
TEST_F(opening_flows_to_a_cold_target, dropsRepeatsWhoseTargetDrains) {
  open(0, Now);
  target_registration Draining = warm();
  Draining.Revision = 2;
  Draining.Draining = true;
  Balancer.Targets.put(Draining, Now);
  target_registration Other = cold();
  Other.Name = "i-2";
  Other.Number = 2;
  Balancer.Targets.put(Other, Now);
  expectDecision(open(1, Now), forward_action::Drop, forward_reason::WarmUpLimit);
}

} // namespace
} // namespace briarpoint
