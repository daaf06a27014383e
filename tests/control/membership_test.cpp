#include "tests/control/fleet_support.h"

#include <gtest/gtest.h>

namespace briarpoint::test {
namespace {

using std::chrono::seconds;

std::set<std::size_t> upTo(std::size_t Count) {
  std::set<std::size_t> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.insert(I);
  return Result;
}

// Guards against processes that never find each other or stay in the joining state.
TEST(control_fleet, ProcessesThatStartTogetherBecomeReady) {
  for (const ownership_scope Scope : {ownership_scope::DataCentre, ownership_scope::All}) {
    for (const std::size_t Count : {1U, 2U, 3U, 9U, 18U}) {
      SCOPED_TRACE(std::to_string(Count) + " processes, scope " +
                   std::to_string(static_cast<int>(Scope)));
      fleet Fleet(Count, Scope);
      Fleet.addMany(Count, 3);
      // The first seeds of a lone process aren't there, so only its join limit helps it.
      const duration Limit = Count < 3 ? seconds(35) : seconds(15);
      EXPECT_LT(Fleet.runUntil([&] { return Fleet.allSee(upTo(Count)); }, Limit), Limit);
    }
  }
}

} // namespace
} // namespace briarpoint::test
