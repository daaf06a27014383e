#include "tests/control/fleet_support.h"

#include <gtest/gtest.h>

namespace briarpoint::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Nine ready processes in 3 data centres with version 1 in force.
class configured_fleet : public testing::Test {
protected:
  configured_fleet() : Fleet(21) {
    Fleet.addMany(9, 3);
    Fleet.runUntil([&] { return Fleet.allReady(); }, seconds(30));
    Fleet.submit(0, gatePatch(6));
    Fleet.runUntil([&] { return Fleet.allHaveVersion(1); }, seconds(10));
  }

  patch_outcome outcomeOf(const std::string &Id, duration Limit = seconds(30)) {
    Fleet.runUntil([&] { return Fleet.Outcomes.contains(Id); }, Limit);
    return Fleet.Outcomes.contains(Id) ? Fleet.Outcomes.at(Id) : patch_outcome{};
  }

  fleet Fleet;
};

// Guards against two patches for one version that both win, or that both lose.
TEST_F(configured_fleet, ExactlyOneOfTwoRacingPatchesWins) {
  config_version Version = 1;
  for (std::size_t Round = 0; Round < 20; ++Round) {
    const std::string First = "first" + std::to_string(Round);
    const std::string Second = "second" + std::to_string(Round);
    Fleet.submit(Round % 9, intentPatch(First, Version, Round % 6));
    Fleet.run(milliseconds(Round));
    Fleet.submit((Round + 4) % 9, intentPatch(Second, Version, (Round + 1) % 6));
    const patch_outcome A = outcomeOf(First);
    const patch_outcome B = outcomeOf(Second);
    const auto IsWin = [](const patch_outcome &O) { return O.Status == patch_status::Accepted; };
    ASSERT_NE(IsWin(A), IsWin(B));
    EXPECT_EQ((IsWin(A) ? B : A).Status, patch_status::Stale);
    ++Version;
    EXPECT_EQ(A.Version, Version);
    EXPECT_EQ(B.Version, Version);
    EXPECT_LE(Fleet.runUntil([&] { return Fleet.allHaveVersion(Version); }, seconds(10)),
              seconds(2));
  }
}

// Guards against a patch outcome that doesn't match the effect of the patch, for each fault of the
// platform.
TEST_F(configured_fleet, OutcomeMatchesTheEffect) {
  const struct {
    const char *Id;
    std::function<void()> Fault;
    patch Patch;
    patch_status Status;
    /// Status when the same patch is sent again after the fault.
    patch_status StatusOnRepeat;
  } Cases[] = {
      {"lost-once", [&] { Fleet.Platform.LostAnswers = 1; }, intentPatch("", 1, 0),
       patch_status::Accepted, patch_status::Accepted},
      {"stale", [] {}, intentPatch("", 1, 1), patch_status::Stale, patch_status::Stale},
      {"invalid", [] {}, intentPatch("", 2, 77), patch_status::Invalid, patch_status::Invalid},
      {"platform-down", [&] { Fleet.Platform.Down = true; }, intentPatch("", 2, 2),
       patch_status::Unavailable, patch_status::Accepted},
      {"down-after-write",
       [&] {
         Fleet.Platform.LostAnswers = 1;
         Fleet.Platform.DownAfterLoss = true;
       },
       intentPatch("", 3, 3), patch_status::Unknown, patch_status::Accepted},
  };
  Fleet.Platform.LoseAnswersOf = "config/head";
  for (const auto &Case : Cases) {
    SCOPED_TRACE(Case.Id);
    patch Patch = Case.Patch;
    Patch.Id = Case.Id;
    Case.Fault();
    Fleet.submit(5, Patch);
    EXPECT_EQ(outcomeOf(Case.Id).Status, Case.Status);
    Fleet.Platform.Down = Fleet.Platform.DownAfterLoss = false;
    Fleet.Outcomes.clear();
    Fleet.run(seconds(20));
    Fleet.submit(7, Patch);
    EXPECT_EQ(outcomeOf(Case.Id).Status, Case.StatusOnRepeat);
    Fleet.run(seconds(3));
  }
  EXPECT_TRUE(Fleet.allHaveVersion(4));
  EXPECT_FALSE(Fleet.anyVersionFell());
}

// Guards against a process that is ready without configuration, or starts with an older one.
TEST_F(configured_fleet, StartingProcessLoadsTheHighestVersion) {
  const fake_platform Old = Fleet.Platform;
  Fleet.submit(1, intentPatch("p2", 1, 0));
  ASSERT_EQ(outcomeOf("p2").Status, patch_status::Accepted);
  ASSERT_LE(Fleet.runUntil([&] { return Fleet.allHaveVersion(2); }, seconds(5)), seconds(2));
  const struct {
    const char *Name;
    std::function<void()> Fault;
  } Cases[] = {{"platform down", [&] { Fleet.Platform.Down = true; }},
               {"platform shows an older version", [&] {
                  Fleet.Platform.Down = false;
                  Fleet.Platform.Objects = Old.Objects;
                }}};
  for (const auto &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    Case.Fault();
    const std::size_t New = Fleet.add("b");
    Fleet.start(New);
    Fleet.runUntil([&] { return Fleet.at(New).Control->isReady(); }, seconds(29));
    EXPECT_TRUE(Fleet.at(New).Control->isReady());
    EXPECT_EQ(Fleet.at(New).Control->inForce()->Version, 2U);
  }
  Fleet.run(seconds(30));
  EXPECT_TRUE(Fleet.allHaveVersion(2));
  EXPECT_FALSE(Fleet.anyVersionFell());
  std::uint64_t Reported = 0;
  for (const std::size_t Index : Fleet.running())
    Reported += Fleet.at(Index).Control->counters().PlatformRegressions;
  EXPECT_GT(Reported, 0U);
}

// Guards against versions that don't arrive when messages are lost.
TEST_F(configured_fleet, VersionIsInForceWithinFiveSecondsAtTenPercentLoss) {
  Fleet.LossRate = 0.1;
  for (config_version Version = 1; Version < 20; ++Version) {
    const std::string Id = "p" + std::to_string(Version);
    Fleet.submit(Version % 9, intentPatch(Id, Version, Version % 6));
    ASSERT_EQ(outcomeOf(Id).Status, patch_status::Accepted);
    ASSERT_LE(Fleet.runUntil([&] { return Fleet.allHaveVersion(Version + 1); }, seconds(10)),
              seconds(5));
  }
}

// Guards against platform load that grows with the fleet; three processes per data centre watch the
// platform.
TEST_F(configured_fleet, IdleFleetCallsThePlatformSeldom) {
  const std::uint64_t Before = Fleet.Platform.Calls;
  Fleet.run(minutes(5));
  // 9 watches of 10 s each give 0.9 calls a second.
  EXPECT_LE(Fleet.Platform.Calls - Before, 300U);
}

} // namespace
} // namespace briarpoint::test
