#include "tests/control/fleet_support.h"

#include <gtest/gtest.h>

namespace briarpoint::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t FleetSize = 18;

std::set<std::size_t> range(std::size_t Begin, std::size_t End) {
  std::set<std::size_t> Result;
  for (std::size_t I = Begin; I < End; ++I)
    Result.insert(I);
  return Result;
}

std::set<std::size_t> allBut(const std::set<std::size_t> &Missing) {
  std::set<std::size_t> Result = range(0, FleetSize);
  for (const std::size_t Index : Missing)
    Result.erase(Index);
  return Result;
}

/// A fleet of 18 ready processes in 3 data centres, for each scope.
class ready_fleet : public testing::TestWithParam<ownership_scope> {
protected:
  ready_fleet() : Fleet(7, GetParam()) {
    Fleet.addMany(FleetSize, 3);
    Fleet.runUntil([&] { return Fleet.allSee(range(0, FleetSize)); }, seconds(30));
    Fleet.run(seconds(5));
  }

  /// Time until the processes \p Members see exactly each other.
  duration timeToSee(const std::set<std::size_t> &Members, duration Limit) {
    return Fleet.runUntil([&] { return Fleet.allSee(Members); }, Limit);
  }

  /// True if all of \p Observers list \p Index as unsuspected, and so use it as destination of
  /// hand-overs.
  bool isUnsuspected(const std::set<std::size_t> &Observers, std::size_t Index) {
    for (const std::size_t Observer : Observers) {
      const member_view *View = Fleet.at(Observer).View->findMember(Fleet.idOf(Index));
      if (View == nullptr || View->Suspected)
        return false;
    }
    return true;
  }

  /// How often any process newly suspected or removed a member, counting the members that \p Counts
  /// selects.
  std::size_t countSuspicions(const std::function<bool(std::size_t Subject)> &Counts) {
    std::size_t Sum = 0;
    for (const std::size_t Index : Fleet.running())
      for (std::size_t Subject = 0; Subject < FleetSize; ++Subject)
        if (Counts(Subject) && Fleet.at(Index).NewSuspicions.contains(Fleet.idOf(Subject)))
          Sum += Fleet.at(Index).NewSuspicions.at(Fleet.idOf(Subject));
    return Sum;
  }

  fleet Fleet;
};

INSTANTIATE_TEST_SUITE_P(scopes, ready_fleet,
                         testing::Values(ownership_scope::DataCentre, ownership_scope::All),
                         [](const auto &Info) {
                           return std::string(Info.param == ownership_scope::All ? "all"
                                                                                 : "data_centre");
                         });

// Guards against processes that never discover each other or stay in the joining state.
TEST(starting_fleet, ProcessesThatStartTogetherBecomeReady) {
  for (const ownership_scope Scope : {ownership_scope::DataCentre, ownership_scope::All}) {
    for (const std::size_t Count : {1U, 2U, 3U, 9U, 18U}) {
      SCOPED_TRACE(std::to_string(Count) + " processes, scope " +
                   std::to_string(static_cast<int>(Scope)));
      fleet Fleet(Count, Scope);
      Fleet.addMany(Count, 3);
      // The other seeds of a single process don't run, so only its join limit makes it ready.
      const duration Limit = Count == 1 ? seconds(35) : seconds(10);
      EXPECT_LT(Fleet.runUntil([&] { return Fleet.allSee(range(0, Count)); }, Limit), Limit);
    }
  }
}

// Guards against crashes that are detected too late or not everywhere.
TEST_P(ready_fleet, CrashedMembersAreSuspectedThenRemoved) {
  for (const std::set<std::size_t> &Crashed :
       {std::set<std::size_t>{3}, std::set<std::size_t>{0, 6, 7}}) {
    SCOPED_TRACE(Crashed.size());
    for (const std::size_t Index : Crashed)
      Fleet.crash(Index);
    const std::set<std::size_t> Rest = allBut(Crashed);
    const auto CrashedAreSuspected = [&] {
      for (const std::size_t Index : Crashed)
        for (const std::size_t Observer : Rest)
          if (isUnsuspected({Observer}, Index))
            return false;
      return true;
    };
    EXPECT_LE(Fleet.runUntil(CrashedAreSuspected, seconds(10)), milliseconds(3500));
    timeToSee(Rest, seconds(10));
    EXPECT_TRUE(Fleet.allSee(Rest));
    for (const std::size_t Index : Crashed)
      Fleet.restart(Index);
    timeToSee(range(0, FleetSize), seconds(10));
    EXPECT_TRUE(Fleet.allSee(range(0, FleetSize)));
  }
}

// Guards against a process that continues in its old state after a pause, or doesn't rejoin.
TEST_P(ready_fleet, PausedProcessRejoins) {
  const struct {
    duration Length;
    std::size_t Resets;
  } Cases[] = {{milliseconds(1500), 0}, {milliseconds(2600), 1}, {seconds(4), 1}, {seconds(20), 1}};
  for (const auto &Case : Cases) {
    SCOPED_TRACE(Case.Length.count());
    const std::size_t Before = Fleet.at(4).Resets;
    Fleet.pause(4, Case.Length);
    Fleet.run(Case.Length + milliseconds(200));
    EXPECT_EQ(Fleet.at(4).Resets - Before, Case.Resets);
    EXPECT_EQ(Fleet.at(4).Control->isReady(), Case.Resets == 0);
    timeToSee(range(0, FleetSize), seconds(15));
    EXPECT_TRUE(Fleet.allSee(range(0, FleetSize)));
  }
}

// Guards against sides of a partition that don't keep working by themselves or don't merge after
// it.
TEST_P(ready_fleet, PartitionedDataCentresKeepWorkingAndMergeAgain) {
  const auto InFirst = [](std::size_t Index) { return Index % 3 == 0; };
  std::set<std::size_t> First;
  std::set<std::size_t> Others;
  for (std::size_t I = 0; I < FleetSize; ++I)
    (InFirst(I) ? First : Others).insert(I);
  for (const duration Length : {duration(seconds(20)), duration(minutes(30))}) {
    SCOPED_TRACE(Length.count());
    Fleet.IsBlocked = [&](std::size_t From, std::size_t To) {
      return InFirst(From) != InFirst(To);
    };
    Fleet.run(Length);
    EXPECT_TRUE(Fleet.allSee(First));
    EXPECT_TRUE(Fleet.allSee(Others));
    const bool Global = GetParam() == ownership_scope::All;
    EXPECT_EQ(Fleet.at(0).View->allReachable(), !Global);
    EXPECT_EQ(Fleet.at(1).View->allReachable(), !Global);
    Fleet.IsBlocked = [](std::size_t, std::size_t) { return false; };
    EXPECT_LT(timeToSee(range(0, FleetSize), seconds(60)), seconds(30));
    EXPECT_TRUE(Fleet.at(0).View->allReachable());
  }
}

// Guards against two data centres that can't reach each other, but both reach the third, and that
// repeatedly remove and readmit each other.
TEST_P(ready_fleet, PartlyPartitionedDataCentresDoNotOscillate) {
  Fleet.IsBlocked = [](std::size_t From, std::size_t To) {
    return From % 3 != 2 && To % 3 != 2 && From % 3 != To % 3;
  };
  const auto AnyMember = [](std::size_t) { return true; };
  Fleet.run(minutes(1));
  const std::size_t Early = countSuspicions(AnyMember);
  Fleet.run(minutes(5));
  const double PerMinute = static_cast<double>(countSuspicions(AnyMember) - Early) / 5 / FleetSize;
  RecordProperty("suspicions_per_hour", static_cast<int>(PerMinute * 60));
  EXPECT_LE(PerMinute, 1.0);
  Fleet.IsBlocked = [](std::size_t, std::size_t) { return false; };
  timeToSee(range(0, FleetSize), seconds(60));
  EXPECT_TRUE(Fleet.allSee(range(0, FleetSize)));
}

// Guards against healthy members that are removed because some messages are lost.
TEST_P(ready_fleet, MembersSurviveTenPercentLoss) {
  Fleet.LossRate = 0.1;
  Fleet.run(minutes(10));
  Fleet.LossRate = 0;
  Fleet.run(seconds(5));
  EXPECT_TRUE(Fleet.allSee(range(0, FleetSize)));
  for (const std::size_t Index : Fleet.running())
    EXPECT_EQ(Fleet.at(Index).Resets, 0U);
  // A quarter of a suspicion per process and minute, for one second each, is tolerable.
  EXPECT_LE(countSuspicions([](std::size_t) { return true; }), FleetSize * 10 / 4);
}

// Guards against a member that receives no messages and makes the others remove each other, once or
// repeatedly.
TEST_P(ready_fleet, MemberThatReceivesNothingDoesNotDisturbTheOthers) {
  const std::set<std::size_t> Rest = allBut({5});
  const auto SuspicionsAmongOthers = [&] {
    std::size_t Sum = countSuspicions([](std::size_t Subject) { return Subject != 5; });
    for (const auto &[Subject, Count] : Fleet.at(5).NewSuspicions)
      Sum -= Count;
    return Sum;
  };
  const std::size_t Before = SuspicionsAmongOthers();
  Fleet.IsBlocked = [](std::size_t, std::size_t To) { return To == 5; };
  Fleet.run(minutes(2));
  EXPECT_EQ(SuspicionsAmongOthers() - Before, 0U);
  Fleet.IsBlocked = [](std::size_t, std::size_t) { return false; };
  timeToSee(range(0, FleetSize), seconds(30));
  EXPECT_TRUE(Fleet.allSee(range(0, FleetSize)));
}

// Guards against a member that repeatedly disappears and returns and makes each balancer rebuild
// its ownership table every time.
TEST_P(ready_fleet, FlappingMemberIsDamped) {
  // Its messages are delivered during 2 s of every 5 s.
  const instant Begin = Fleet.Queue.now();
  Fleet.IsBlocked = [&](std::size_t From, std::size_t) {
    return From == 9 && (Fleet.Queue.now() - Begin) % seconds(5) > seconds(2);
  };
  Fleet.run(minutes(1));
  const auto IsFlapping = [](std::size_t Subject) { return Subject == 9; };
  const std::size_t Early = countSuspicions(IsFlapping);
  Fleet.run(minutes(4));
  const double PerMinute =
      static_cast<double>(countSuspicions(IsFlapping) - Early) / 4 / (FleetSize - 1);
  EXPECT_LE(PerMinute, 0.5);
  Fleet.IsBlocked = [](std::size_t, std::size_t) { return false; };
  timeToSee(range(0, FleetSize), seconds(30));
  EXPECT_TRUE(Fleet.allSee(range(0, FleetSize)));
}

// Guards against membership that depends on a process of the initial fleet.
TEST_P(ready_fleet, AllMembersAreReplacedWithinAnHour) {
  for (std::size_t Old = 0; Old < FleetSize; ++Old) {
    Fleet.start(Fleet.add(std::string(1, static_cast<char>('a' + Old % 3))));
    Fleet.run(seconds(60));
    EXPECT_TRUE(Fleet.at(FleetSize + Old).Control->isReady());
    Fleet.at(Old).Control->leave(Fleet.Queue.now());
    const duration Took = Fleet.runUntil(
        [&] { return Fleet.at(Old).Control->mayExit(Fleet.Queue.now()); }, seconds(60));
    EXPECT_LT(Took, seconds(10));
    Fleet.crash(Old);
    Fleet.run(seconds(100));
  }
  EXPECT_TRUE(Fleet.allSee(range(FleetSize, 2 * FleetSize)));
}

// Guards against a process that owns flows before it has the records of its peers.
TEST_P(ready_fleet, JoiningProcessWaitsForRecordsUntilItsLimit) {
  Fleet.at(3).FinishesTransfers = false;
  const std::size_t New = Fleet.add("a");
  Fleet.start(New);
  Fleet.run(seconds(25));
  EXPECT_FALSE(Fleet.at(New).Control->isReady());
  Fleet.at(3).Control->sendTransferFinished(Fleet.idOf(New));
  Fleet.run(seconds(1));
  EXPECT_TRUE(Fleet.at(New).Control->isReady());

  const std::size_t Late = Fleet.add("a");
  Fleet.start(Late);
  Fleet.run(milliseconds(29800));
  EXPECT_FALSE(Fleet.at(Late).Control->isReady());
  Fleet.run(milliseconds(400));
  EXPECT_TRUE(Fleet.at(Late).Control->isReady());
}

} // namespace
} // namespace briarpoint::test
