#include "measure/case_catalog.h"
#include "measure/request_schedule.h"
#include "measure/scenario.h"

#include <gtest/gtest.h>

#include <set>

namespace briarpoint::measure {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t SmallScale = 100;

const measure_case &findCase(const std::string &Name) {
  for (const measure_case &Case : caseCatalog())
    if (Case.Name == Name)
      return Case;
  throw std::invalid_argument("no measurement case is named " + Name);
}

// Guards against two cases with the same name; neither could be selected alone.
TEST(case_catalog, NamesAreUnique) {
  std::set<std::string> Names;
  for (const measure_case &Case : caseCatalog())
    EXPECT_TRUE(Names.insert(Case.Name).second) << Case.Name;
  EXPECT_GE(Names.size(), 40U);
}

// Guards against runs that depend on more than the seed (addresses, hash order, other threads), and
// against a hash that doesn't depend on the run.
TEST(measured_case, SameSeedGivesTheSameHash) {
  for (const char *Name : {"planned_changes/shop/all", "silent_flows/storage/data_centre",
                           "patch_race/shop/all", "at_most_once"}) {
    SCOPED_TRACE(Name);
    const measure_case &Case = findCase(Name);
    const std::string First = Case.Run(5, SmallScale).jsonLine();
    EXPECT_EQ(First, Case.Run(5, SmallScale).jsonLine());
    EXPECT_NE(First, Case.Run(6, SmallScale).jsonLine());
  }
}

/// A small fabric with open flows.
struct running_fabric : testing::Test {
  running_fabric()
      : Scenario(makeVariant(shopNetwork(), ownership_scope::DataCentre, 3, SmallScale)) {}
  void SetUp() override { ASSERT_TRUE(Scenario.warmUp()); }
  const traffic_counts &counts() { return Scenario.flows().counts(); }

  scenario Scenario;
};

// Guards against a comparison with plain hashing that reports no broken flows: at a drain, plain
// hashing must break some, the balancers none.
TEST_F(running_fabric, PlainHashingBreaksFlowsAtADrain) {
  Scenario.drainTarget(0, false);
  Scenario.run(seconds(10));
  EXPECT_GT(counts().PlainBroken, 0U);
  EXPECT_EQ(counts().broken(), 0U);
}

// Guards against a check that misses lost flow records. Without records, the packets of a flow go
// to the first target in the flow's order, which may not be the one that accepted it.
TEST_F(running_fabric, LostRecordsAreCountedAsBrokenFlows) {
  for (const std::size_t I : Scenario.simulation().running())
    Scenario.simulation().find(I)->data().reset(Scenario.simulation().now());
  Scenario.run(seconds(60));
  EXPECT_GT(counts().broken(), 0U);
}

// Guards against a check that misses packets lost in the fabric while the target is alive.
TEST_F(running_fabric, LostPacketsAreCountedAsStalledFlows) {
  for (const std::size_t I : Scenario.simulation().running())
    Scenario.simulation().pause(I, seconds(60));
  Scenario.run(seconds(55));
  EXPECT_GT(counts().BrokenStalled, 0U);
}

// Guards against a check of service isolation that never fails.
TEST_F(running_fabric, PacketOfAnotherServiceIsCounted) {
  fake_packet Packet;
  Packet.Service = 1;
  Packet.ServicePort = FirstTcpPort;
  Packet.Flags = TcpSyn;
  std::array<std::byte, MaxFakePacketSize> Bytes;
  const std::size_t Size = writeFakePacket(Packet, Bytes);
  Scenario.flows().packetAtTarget(0, service_id{1}, std::span(Bytes).first(Size));
  EXPECT_EQ(counts().WrongService, 1U);
}

// Guards against a check of drains that never fails. The target is marked as leaving, but no
// balancer is informed.
TEST_F(running_fabric, NewFlowsOnALeavingTargetAreCounted) {
  Scenario.flows().markLeaving(0);
  Scenario.run(seconds(20));
  EXPECT_GT(counts().NewOnLeaving, 0U);
}

// Guards against schedules that detect no fault: leaving out a part of the protocol must lead to
// wrong results.
TEST(request_schedule, MissingProtocolPartsAreDetected) {
  for (const schedule_fault Fault :
       {schedule_fault::NoConvergence, schedule_fault::NoReplication}) {
    SCOPED_TRACE(static_cast<int>(Fault));
    std::uint32_t Found = 0;
    for (std::uint64_t Seed = 0; Seed < 2000; ++Seed) {
      const schedule_result Result = runSchedule(Seed, Fault);
      Found += Result.RanTwice + Result.WrongNotRunAnswers;
    }
    EXPECT_GT(Found, 0U);
  }
}

// Guards against a report that passes regardless of its figures.
TEST(case_report, FailsWhenABoundIsExceeded) {
  report Report("case", 1);
  Report.atMost("a", 1.0, 1.0);
  Report.atLeast("b", 1.0, 1.0);
  EXPECT_TRUE(Report.passed());
  report Above = Report;
  Above.atMost("c", 1.1, 1.0);
  EXPECT_FALSE(Above.passed());
  report Below = Report;
  Below.atLeast("c", 0.9, 1.0);
  EXPECT_FALSE(Below.passed());
  report NoNumber = Report;
  NoNumber.atMost("c", 0.0 / 0.0, 1.0);
  EXPECT_FALSE(NoNumber.passed());
  EXPECT_NE(Above.hash(), Below.hash());
}

} // namespace
} // namespace briarpoint::measure
