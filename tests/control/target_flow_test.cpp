#include "tests/control/fleet_support.h"

#include <gtest/gtest.h>

namespace briarpoint::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t TargetCount = 14;

/// A fleet of 18 processes in 3 data centres with a service of 14 targets in force.
class serving_fleet : public testing::Test {
protected:
  serving_fleet() : Fleet(5) {
    Fleet.addMany(18, 3);
    for (std::size_t I = 0; I < TargetCount; ++I)
      Fleet.Targets[gateTarget(I)] = {};
    Fleet.runUntil([&] { return Fleet.allReady(); }, seconds(30));
    Fleet.submit(4, gatePatch(TargetCount));
    Fleet.runUntil([&] { return Fleet.allHaveVersion(1); }, seconds(10));
    Fleet.run(seconds(5));
  }

  bool allAccept(target_id Target, bool Accepts) {
    for (const std::size_t Index : Fleet.running())
      if (Fleet.at(Index).View->findTarget(Target) == nullptr ||
          Fleet.at(Index).View->findTarget(Target)->AcceptsNew != Accepts)
        return false;
    return true;
  }

  fleet Fleet;
};

// Guards against a patch that is accepted but doesn't come into force everywhere.
TEST_F(serving_fleet, PatchIsInForceEverywhereWithinTwoSeconds) {
  ASSERT_EQ(Fleet.Outcomes.at("create-gate").Status, patch_status::Accepted);
  Fleet.submit(11, intentPatch("p2", 1, 3));
  EXPECT_LE(Fleet.runUntil([&] { return Fleet.allHaveVersion(2); }, seconds(10)), seconds(2));
  EXPECT_TRUE(Fleet.allReady());
  Fleet.run(milliseconds(200));
  EXPECT_TRUE(allAccept(gateTarget(3), false));
  EXPECT_TRUE(allAccept(gateTarget(4), true));
}

// Guards against a draining target that gets new flows after 3 s, in particular without the
// platform.
TEST_F(serving_fleet, DrainIsKnownEverywhereWithinThreeSecondsWithoutPlatform) {
  Fleet.Platform.Down = true;
  Fleet.run(seconds(20));
  for (const std::size_t Target : {0U, 5U, 13U}) {
    SCOPED_TRACE(Target);
    ASSERT_TRUE(allAccept(gateTarget(Target), true));
    Fleet.Targets[gateTarget(Target)].Draining = true;
    EXPECT_LE(Fleet.runUntil([&] { return allAccept(gateTarget(Target), false); }, seconds(10)),
              seconds(3));
  }
}

} // namespace
} // namespace briarpoint::test
