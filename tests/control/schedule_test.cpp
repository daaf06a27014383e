#include "tests/control/fleet_support.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t FleetSize = 9;

/// Applies one arbitrary fault or change to the fleet.
void applyArbitraryFault(fleet &Fleet, std::size_t Step) {
  const std::size_t Index = *rc::gen::inRange<std::size_t>(0, FleetSize);
  const std::size_t Other = *rc::gen::inRange<std::size_t>(0, FleetSize);
  switch (*rc::gen::inRange(0, 10)) {
  case 0:
    if (Fleet.alive(Index) && Fleet.running().size() > 3)
      Fleet.crash(Index);
    break;
  case 1:
    Fleet.restart(Index);
    break;
  case 2:
    if (Fleet.alive(Index) && !Fleet.at(Index).Paused)
      Fleet.pause(Index, milliseconds(*rc::gen::inRange(500, 9000)));
    break;
  case 3:
    Fleet.IsBlocked = [Index](std::size_t From, std::size_t To) {
      return (From % 3 == Index % 3) != (To % 3 == Index % 3);
    };
    break;
  case 4:
    Fleet.IsBlocked = [Index, Other](std::size_t From, std::size_t To) {
      return From == Index && (To == Other || Other < 3);
    };
    break;
  case 5:
    Fleet.IsBlocked = [](std::size_t, std::size_t) { return false; };
    break;
  case 6:
    Fleet.LossRate = 0.01 * *rc::gen::inRange(0, 30);
    break;
  case 7:
    Fleet.MaxDelay = milliseconds(*rc::gen::inRange(1, 400));
    break;
  case 8:
    Fleet.Platform.Down = *rc::gen::arbitrary<bool>();
    break;
  default:
    if (Fleet.alive(Index)) {
      const config_version Base = Fleet.at(Index).Control->inForce()->Version;
      if (Base > 0)
        Fleet.submit(Index, intentPatch("s" + std::to_string(Step), Base, Step % 4));
    }
  }
}

// Guards against any order of faults after which the fleet doesn't converge, or a version falls.
RC_GTEST_PROP(fault_schedule, FleetAgreesAgainAndNoVersionFalls, ()) {
  const auto Scope = *rc::gen::element(ownership_scope::DataCentre, ownership_scope::All);
  fleet Fleet(*rc::gen::inRange<std::uint64_t>(1, 1000000), Scope);
  Fleet.addMany(FleetSize, 3);
  Fleet.runUntil([&] { return Fleet.allReady(); }, seconds(30));
  Fleet.submit(0, gatePatch(4));
  Fleet.run(seconds(3));
  const int Steps = *rc::gen::inRange(1, 25);
  for (int Step = 0; Step < Steps; ++Step) {
    applyArbitraryFault(Fleet, static_cast<std::size_t>(Step));
    Fleet.run(milliseconds(*rc::gen::inRange(100, 6000)));
  }

  // All faults end; processes that don't run are started again.
  Fleet.IsBlocked = [](std::size_t, std::size_t) { return false; };
  Fleet.LossRate = 0;
  Fleet.MaxDelay = milliseconds(2);
  Fleet.Platform.Down = false;
  std::set<std::size_t> All;
  for (std::size_t I = 0; I < FleetSize; ++I) {
    All.insert(I);
    if (!Fleet.alive(I))
      Fleet.restart(I);
  }
  Fleet.runUntil([&] { return Fleet.allSee(All); }, seconds(120));
  RC_ASSERT(Fleet.allSee(All));
  RC_ASSERT(!Fleet.anyVersionFell());
  config_version Highest = 0;
  for (const std::size_t Index : Fleet.running())
    Highest = std::max(Highest, Fleet.at(Index).Control->inForce()->Version);
  Fleet.runUntil([&] { return Fleet.allHaveVersion(Highest); }, seconds(40));
  RC_ASSERT(Fleet.allHaveVersion(Highest));
}

} // namespace
} // namespace briarpoint::test
