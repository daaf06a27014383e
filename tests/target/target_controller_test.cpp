#include "core/target/target_controller.h"

#include "base/seeded_random.h"
#include "core/target/prober_assignment.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t TargetCount = 9;

/// A controller with 6 ready members and 9 targets. The test supplies the reports of the probers.
class target_health_test : public testing::Test {
protected:
  target_health_test() {
    for (std::size_t I = 0; I < 6; ++I) {
      member_view Member;
      Member.Id = makeMemberId("m" + std::to_string(I));
      Member.DataCentre = std::string(1, static_cast<char>('a' + I % 3));
      Member.State = member_state::Ready;
      Members.push_back(Member);
    }
    service_config Service;
    Service.Name = "gate";
    Service.Id = service_id{1};
    for (std::size_t I = 0; I < TargetCount; ++I)
      Service.Targets.push_back(makeTarget(I));
    Config.Version = 1;
    Config.Services.push_back(Service);
    Controller.applyMembers(Members, Now);
    Controller.applyConfiguration(Config, Now);
    Controller.tick(Now);
  }

  static target_config makeTarget(std::size_t Index) {
    target_config Target;
    Target.Name = "t" + std::to_string(Index);
    Target.Tunnel.Port = static_cast<std::uint16_t>(1000 + Index);
    Target.Slots = 2;
    return Target;
  }
  target_id idOf(std::size_t Index) const {
    return makeTargetId("gate", Config.Services[0].Targets[Index]);
  }

  /// Applies a report of prober number \p Prober (from 0) of a target.
  void report(std::size_t Target, std::size_t Prober, target_health Health) {
    const std::vector<member_id> Probers = assignProbers(idOf(Target), Members, 3);
    const target_status Status{idOf(Target), Probers.at(Prober), ++Sequence, Health, 0, 0};
    Controller.handleStatuses({&Status, 1}, Now);
    tick(milliseconds(100));
  }
  void observe(std::size_t Target, const target_observation &Counts) {
    target_observation Observation = Counts;
    Observation.Target = idOf(Target);
    Controller.handleObservations({&Observation, 1}, Now);
    tick(milliseconds(100));
  }
  void tick(duration Step) {
    Now += Step;
    Controller.tick(Now);
  }
  target_rating rating(std::size_t Target) const { return Controller.rating(idOf(Target)); }

  static target_settings settings() {
    target_settings Settings;
    // A process that isn't a member isn't assigned any probes.
    Settings.Self = makeMemberId("observer");
    return Settings;
  }

  instant Now = instant{} + seconds(100);
  seeded_random Random{3};
  std::vector<member_view> Members;
  configuration Config;
  std::uint64_t Sequence = 100;
  target_controller Controller{settings(), Random};
};

// Guards against the ejection of a target by one wrong report, and against a dead target that isn't
// ejected.
TEST_F(target_health_test, DownNeedsTwoSources) {
  const target_observation Failures{{}, 3, 0, 3, 0, 0, 0};
  const target_observation Successes{{}, 9, 9, 0, 0, 0, 0};
  report(0, 0, target_health::Down);
  EXPECT_FALSE(rating(0).Dead);
  EXPECT_TRUE(rating(0).AcceptsNew);
  report(0, 1, target_health::Down);
  EXPECT_TRUE(rating(0).Dead);
  EXPECT_FALSE(rating(0).AcceptsNew);

  observe(1, Failures);
  EXPECT_FALSE(rating(1).Dead);
  report(1, 2, target_health::Down);
  EXPECT_TRUE(rating(1).Dead);
  observe(1, Successes);
  EXPECT_FALSE(rating(1).Dead);
}

// Guards against ending the flows of targets that are unreachable only because of a partition.
TEST_F(target_health_test, TargetsBeyondAPartitionAreNotDead) {
  Controller.setUnreachableDataCentres({Config.Services[0].Targets[0].DataCentre});
  EXPECT_TRUE(rating(0).AcceptsNew);
  report(0, 0, target_health::Down);
  report(0, 1, target_health::Down);
  EXPECT_FALSE(rating(0).Dead);
  EXPECT_FALSE(rating(0).AcceptsNew);
  Controller.setUnreachableDataCentres({});
  tick(milliseconds(100));
  EXPECT_TRUE(rating(0).Dead);
}

// Guards against counting the vote of a prober that was unassigned or died, or was never assigned.
TEST_F(target_health_test, OnlyAssignedProbersEject) {
  report(0, 0, target_health::Down);
  report(0, 1, target_health::Down);
  ASSERT_TRUE(rating(0).Dead);
  const member_id Dead = assignProbers(idOf(0), Members, 3)[0];
  std::erase_if(Members, [&](const member_view &Member) { return Member.Id == Dead; });
  Controller.applyMembers(Members, Now);
  tick(milliseconds(100));
  EXPECT_FALSE(rating(0).Dead);

  for (std::uint64_t I = 0; I < 5; ++I) {
    const target_status Unassigned{
        idOf(3), makeMemberId("x" + std::to_string(I)), 5, target_health::Down, 0, 0};
    Controller.handleStatuses({&Unassigned, 1}, Now);
  }
  tick(milliseconds(100));
  EXPECT_FALSE(rating(3).Dead);
}

// Guards against new flows on a draining target that only one prober reported, also right after
// that prober died.
TEST_F(target_health_test, OneReportIsEnoughToDrain) {
  report(4, 2, target_health::Draining);
  EXPECT_FALSE(rating(4).AcceptsNew);
  EXPECT_FALSE(rating(4).Dead);
  const member_id Dead = assignProbers(idOf(4), Members, 3)[2];
  std::erase_if(Members, [&](const member_view &Member) { return Member.Id == Dead; });
  Controller.applyMembers(Members, Now);
  tick(seconds(4));
  EXPECT_FALSE(rating(4).AcceptsNew);
  tick(seconds(2));
  EXPECT_TRUE(rating(4).AcceptsNew);
}

// Guards against a delayed report that replaces a newer one.
TEST_F(target_health_test, OlderReportsAreIgnored) {
  report(2, 0, target_health::Draining);
  target_status Old{idOf(2), assignProbers(idOf(2), Members, 3)[0], 1, target_health::Healthy, 0,
                    0};
  Controller.handleStatuses({&Old, 1}, Now);
  tick(milliseconds(100));
  EXPECT_FALSE(rating(2).AcceptsNew);
}

// Guards against the ejection of a whole service. Draining targets don't count.
TEST_F(target_health_test, AtMostAThirdIsEjected) {
  report(8, 0, target_health::Draining);
  for (std::size_t Target = 0; Target < 8; ++Target)
    for (std::size_t Prober = 0; Prober < 3; ++Prober)
      report(Target, Prober, target_health::Down);
  std::size_t Ejected = 0;
  std::size_t Accepting = 0;
  for (std::size_t Target = 0; Target < 8; ++Target) {
    Ejected += rating(Target).Dead ? 1 : 0;
    Accepting += rating(Target).AcceptsNew ? 1 : 0;
  }
  // A third of the 8 targets that aren't draining, rounded down.
  EXPECT_EQ(Ejected, 2U);
  EXPECT_EQ(Accepting, 6U);
  EXPECT_FALSE(rating(8).AcceptsNew);
}

// Guards against a new or recovered target that gets its full share at once.
TEST_F(target_health_test, NewAndRecoveredTargetsStartSlowly) {
  EXPECT_EQ(rating(5).Weight, 1.0);
  Config.Version = 2;
  Config.Services[0].Targets.push_back(makeTarget(TargetCount));
  Controller.applyConfiguration(Config, Now);
  report(0, 0, target_health::Down);
  report(0, 1, target_health::Down);
  report(0, 0, target_health::Healthy);
  for (const std::size_t Target : {TargetCount, std::size_t{0}}) {
    SCOPED_TRACE(Target);
    EXPECT_NEAR(rating(Target).Weight, 0.1, 0.03);
  }
  tick(seconds(15));
  EXPECT_NEAR(rating(TargetCount).Weight, 0.55, 0.03);
  tick(seconds(16));
  EXPECT_EQ(rating(TargetCount).Weight, 1.0);
  EXPECT_EQ(rating(5).Weight, 1.0);
}

// Guards against a target that passes its probes, refuses flows, and keeps its full weight.
TEST_F(target_health_test, PassiveFailuresReduceTheWeightForAWhile) {
  observe(6, {{}, 5, 0, 5, 0, 0, 0});
  EXPECT_NEAR(rating(6).Weight, 0.1, 0.03);
  EXPECT_TRUE(rating(6).AcceptsNew);
  tick(seconds(5));
  EXPECT_EQ(rating(6).Weight, 1.0);
}

} // namespace
} // namespace briarpoint
