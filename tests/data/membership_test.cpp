#include "tests/data/simulated_fabric_support.h"

#include <gtest/gtest.h>

namespace briarpoint::testing {
namespace {

constexpr std::uint32_t Isn = 1000;

/// A fabric of six balancers with one established TCP flow and one UDP flow.
class fabric_with_flows : public ::testing::Test {
protected:
  void SetUp() override {
    open(TcpKey, segment(Caller, Service, TcpSyn, Isn),
         segment(Service, Caller, TcpSyn | TcpAck, 5000, Isn + 1));
    TcpTarget = LastTarget;
    open(UdpKey, datagram(Caller, Service), datagram(Service, Caller));
    UdpTarget = LastTarget;
    Net.RecordsSent = 0;
  }

  void open(const flow_key &Key, const bytes &First, const bytes &Reply) {
    Net.forward(Net.firstOwner(Key), First);
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    LastTarget = Net.AtTargets[0].Target;
    Net.reply(0, LastTarget, Reply);
    ASSERT_EQ(Net.AtCaller.size(), 1U);
    Net.AtTargets.clear();
    Net.AtCaller.clear();
  }

  /// Sends a packet of a flow and returns the target that received it; NoTarget if none did.
  target_id sendOn(const flow_key &Key, std::size_t Balancer) {
    Net.AtTargets.clear();
    Net.forward(Balancer, Key.Protocol == transport::Udp
                              ? datagram(Caller, Service)
                              : segment(Caller, Service, TcpAck, Isn + 1, 5001, 20));
    return Net.AtTargets.empty() ? NoTarget : Net.AtTargets.back().Target;
  }
  target_id targetOf(const flow_key &Key) const { return Key == TcpKey ? TcpTarget : UdpTarget; }

  void remove(std::size_t Index) {
    Net.kill(Index);
    std::erase_if(Net.Members, [&](const member_view &Member) {
      return Member.Id == simulated_fabric::memberId(Index);
    });
  }

  simulated_fabric Net{6};
  endpoint Caller = simulated_fabric::callerAddress(1);
  endpoint Service = simulated_fabric::serviceAddress(0);
  flow_key TcpKey{Caller, Service, transport::Tcp};
  flow_key UdpKey{Caller, Service, transport::Udp};
  target_id TcpTarget{};
  target_id UdpTarget{};
  target_id LastTarget{};
};

struct failure_case {
  const char *Name;
  std::vector<std::size_t> OwnerIndices;
  transport Protocol;
};

std::ostream &operator<<(std::ostream &Out, const failure_case &Case) { return Out << Case.Name; }

class failing_owners : public fabric_with_flows,
                       public ::testing::WithParamInterface<failure_case> {
protected:
  void expectFlowWorks(const flow_key &Key) {
    for (std::size_t Balancer = 0; Balancer < 6; ++Balancer) {
      if (Net.isLive(Balancer)) {
        EXPECT_EQ(sendOn(Key, Balancer), targetOf(Key));
      }
    }
  }
};

// Guards against a flow that breaks when up to three of its owners fail: first while they are only
// suspected, then after the slot has new owners.
TEST_P(failing_owners, DoNotBreakTheFlow) {
  const flow_key Key = GetParam().Protocol == transport::Tcp ? TcpKey : UdpKey;
  std::vector<std::size_t> Dead;
  for (const std::size_t OwnerIndex : GetParam().OwnerIndices)
    Dead.push_back(Net.ownerAt(Key, OwnerIndex));
  for (const std::size_t Index : Dead) {
    Net.kill(Index);
    Net.member(Index)->Suspected = true;
  }
  Net.publish();
  expectFlowWorks(Key);
  for (const std::size_t Index : Dead)
    remove(Index);
  Net.publish();
  expectFlowWorks(Key);
}

INSTANTIATE_TEST_SUITE_P(
    Sets, failing_owners,
    ::testing::Values(failure_case{"first", {0}, transport::Tcp},
                      failure_case{"second", {1}, transport::Tcp},
                      failure_case{"first two", {0, 1}, transport::Tcp},
                      failure_case{"first three", {0, 1, 2}, transport::Tcp},
                      failure_case{"last three", {1, 2, 3}, transport::Tcp},
                      failure_case{"first, UDP", {0}, transport::Udp},
                      failure_case{"first three, UDP", {0, 1, 2}, transport::Udp},
                      failure_case{"last three, UDP", {1, 2, 3}, transport::Udp}));

/// All owners of the flow except the last one lost their records.
class fabric_with_one_copy : public fabric_with_flows {
protected:
  void SetUp() override {
    fabric_with_flows::SetUp();
    Holder = Net.ownerAt(TcpKey, 3);
    for (std::size_t OwnerIndex = 0; OwnerIndex < 3; ++OwnerIndex)
      Net.plane(Net.ownerAt(TcpKey, OwnerIndex)).reset(Net.Now);
  }

  std::size_t Holder = 0;
};

// Guards against a lookup that stops before the last holder, and against a lookup for each packet
// because the record isn't restored.
TEST_F(fabric_with_one_copy, LookupFindsTheLastCopyAndRestoresTheOthers) {
  EXPECT_EQ(sendOn(TcpKey, Net.firstOwner(TcpKey)), TcpTarget);
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_NE(Net.recordAt(Net.ownerAt(TcpKey, OwnerIndex), TcpKey), nullptr);
  Net.kill(Holder);
  EXPECT_EQ(sendOn(TcpKey, Net.firstOwner(TcpKey)), TcpTarget);
}

// Guards against choosing a target while a balancer that may hold the record can't be queried, and
// against dropping the flow's packets for ever.
TEST_F(fabric_with_one_copy, UnknownFlowIsDroppedUntilTheFabricHasConverged) {
  Net.kill(Holder);
  Net.member(Holder)->Suspected = true;
  Net.publish();
  const std::size_t Owner = Net.firstOwner(TcpKey);
  const std::uint64_t Before = Net.dropped(drop_reason::UnknownFlow);
  EXPECT_EQ(sendOn(TcpKey, Owner), NoTarget);
  // The holder is still suspected after the convergence period.
  Net.advance(Net.Settings.ConvergencePeriod);
  EXPECT_EQ(sendOn(TcpKey, Owner), NoTarget);
  // The holder is removed, so the owners change and a new convergence period starts.
  remove(Holder);
  Net.publish();
  EXPECT_EQ(sendOn(TcpKey, Owner), NoTarget);
  // A data centre isn't reachable.
  Net.AllReachable = false;
  Net.publish();
  Net.advance(Net.Settings.ConvergencePeriod);
  EXPECT_EQ(sendOn(TcpKey, Owner), NoTarget);
  EXPECT_EQ(Net.dropped(drop_reason::UnknownFlow), Before + 4);
  // The fabric has converged: the packet goes to the default target, which answers with RST. No
  // record is created.
  Net.AllReachable = true;
  Net.publish();
  EXPECT_NE(sendOn(TcpKey, Owner), NoTarget);
  EXPECT_EQ(Net.recordAt(Owner, TcpKey), nullptr);
}

// Guards against lookups that leave out former owners: none of the current owners has the record,
// but a balancer that is leaving does.
TEST_F(fabric_with_flows, LookupIncludesFormerOwnersWhileViewsConverge) {
  const std::size_t Leaving = Net.firstOwner(TcpKey);
  Net.member(Leaving)->State = member_state::Leaving;
  Net.publish();
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    Net.plane(Net.ownerAt(TcpKey, OwnerIndex)).reset(Net.Now);
  EXPECT_EQ(sendOn(TcpKey, Net.firstOwner(TcpKey)), TcpTarget);
}

// Guards against a packet that is lost or handed over in a loop when the ingress has an outdated
// view: a former owner uses the record that it holds, and without one hands the packet over.
TEST_F(fabric_with_flows, OutdatedViewOfTheIngressCostsOneHop) {
  const std::size_t Former = Net.firstOwner(TcpKey);
  const std::size_t Ingress = Net.ownerAt(TcpKey, 1) == 0 ? 1 : 0;
  Net.member(Former)->State = member_state::Leaving;
  for (std::size_t I = 0; I < 6; ++I) {
    if (I != Ingress)
      Net.publishTo(I);
  }
  EXPECT_EQ(sendOn(TcpKey, Ingress), TcpTarget);
  Net.plane(Former).reset(Net.Now);
  EXPECT_EQ(sendOn(TcpKey, Ingress), TcpTarget);
  EXPECT_EQ(Net.dropped(drop_reason::TooManyHops), 0U);
}

// Guards against endless hand-overs between balancers whose views contradict each other.
TEST_F(fabric_with_flows, PacketThatIsHandedOverTooOftenIsDropped) {
  const flow_key Unknown{simulated_fabric::callerAddress(500), Service, transport::Tcp};
  handover Handover;
  Handover.Hops = MaxHandovers;
  const std::size_t NotOwner = Net.firstOwner(Unknown) == 0 ? 1 : 0;
  Net.plane(NotOwner).handleHandover(Handover, segment(Unknown.Caller, Service, TcpSyn, 1),
                                     Net.Now);
  Net.deliverAll();
  EXPECT_EQ(Net.dropped(drop_reason::TooManyHops), 1U);
  EXPECT_TRUE(Net.AtTargets.empty());
}

// Guards against idle flows that lose a copy with each change of owners: without packets only the
// background transfer can restore the fourth copy.
TEST_F(fabric_with_flows, IdleRecordsGetTheirFourthCopyInTheBackground) {
  remove(Net.ownerAt(TcpKey, 2));
  Net.publish();
  const std::size_t New = Net.ownerAt(TcpKey, 3);
  EXPECT_EQ(Net.recordAt(New, TcpKey), nullptr);
  Net.advance(std::chrono::seconds(5));
  ASSERT_NE(Net.recordAt(New, TcpKey), nullptr);
  EXPECT_EQ(Net.recordAt(New, TcpKey)->Target, TcpTarget);
}

/// Enough idle flows that a transfer takes several seconds.
class fabric_with_many_flows : public ::testing::Test {
protected:
  static constexpr std::uint16_t FlowCount = 1000;

  void SetUp() override {
    for (std::uint16_t I = 0; I < FlowCount; ++I) {
      const endpoint Caller = simulated_fabric::callerAddress(I);
      Net.forward(I % 6, segment(Caller, Service, TcpSyn, Isn));
      Net.reply(I % 6, Net.AtTargets.back().Target,
                segment(Service, Caller, TcpSyn | TcpAck, 5000, Isn + 1));
    }
    Net.RecordsSent = 0;
  }

  /// Restarts the last balancer, in state Joining.
  void startJoining() {
    Net.restart(5);
    Net.Members[5].State = member_state::Joining;
    Net.publish();
  }

  simulated_fabric Net{6};
  endpoint Service = simulated_fabric::serviceAddress(0);
};

// Guards against a joining balancer that becomes ready without the records that it will own: the
// message that a transfer is finished must follow all records.
TEST_F(fabric_with_many_flows, JoiningBalancerGetsAllItsRecordsBeforeTheEndIsAnnounced) {
  startJoining();
  for (int I = 0; I < 100 && Net.Finished.size() < 5; ++I)
    Net.advance(std::chrono::seconds(1));
  ASSERT_GE(Net.Finished.size(), 5U);
  const ownership_table Next =
      ownership_table::build(Net.Members, ownership_scope::DataCentre, "dc", true);
  std::size_t Expected = 0;
  for (std::uint16_t I = 0; I < FlowCount; ++I) {
    const flow_id Id = makeFlowId({simulated_fabric::callerAddress(I), Service, transport::Tcp}, 0);
    Expected +=
        contains(Next.owners(ownership_table::slotOf(Id)), simulated_fabric::memberId(5)) ? 1 : 0;
  }
  ASSERT_GT(Expected, 300U);
  EXPECT_GE(Net.plane(5).counters().Records, Expected);
}

// Guards against control traffic above the limit (56 bytes per record), and against records that
// are sent again when the balancer becomes ready.
TEST_F(fabric_with_many_flows, TransferKeepsItsBudgetAndSendsEachRecordOnce) {
  startJoining();
  Net.advance(std::chrono::seconds(2));
  const double Budget = 5 * 3.0 * Net.Settings.TransferBytesPerSecond;
  EXPECT_LE(static_cast<double>(Net.RecordsSent) * 56, Budget);
  Net.advance(std::chrono::seconds(60));
  const std::size_t SentBefore = Net.RecordsSent;
  Net.Members[5].State = member_state::Ready;
  Net.publish();
  Net.advance(std::chrono::seconds(60));
  EXPECT_EQ(Net.RecordsSent, SentBefore);
}

// Guards against flows that count twice or not at all after the first owner changes: the counts of
// all balancers must add up to the number of open flows.
TEST_F(fabric_with_many_flows, EachOpenFlowCountsAtItsFirstOwnerOnly) {
  const auto Sum = [&] {
    Net.Observations.clear();
    Net.advance(Net.Settings.ReportInterval);
    std::size_t Flows = 0;
    for (const target_observation &Observation : Net.Observations)
      Flows += Observation.OpenFlows;
    return Flows;
  };
  EXPECT_EQ(Sum(), FlowCount);
  std::size_t Owned = 0;
  for (std::size_t I = 0; I < 6; ++I)
    Owned += Net.plane(I).counters().OwnedRecords;
  EXPECT_EQ(Owned, FlowCount);
  Net.kill(2);
  Net.Members[2].Suspected = true;
  Net.publish();
  EXPECT_EQ(Sum(), FlowCount);
  Net.Members.erase(Net.Members.begin() + 2);
  Net.publish();
  EXPECT_EQ(Sum(), FlowCount);
}

} // namespace
} // namespace briarpoint::testing
