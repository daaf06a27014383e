#include "tests/data/fabric_support.h"

namespace briarpoint::testing {
namespace {

// Guards against a SYN that reaches the target before all owners hold the record.
TEST_F(fabric_with_opening_flow, AllOwnersHoldTheRecord) {
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex) {
    SCOPED_TRACE(OwnerIndex);
    const flow_record *Record = Net.recordAt(owner(OwnerIndex), Key);
    ASSERT_NE(Record, nullptr);
    EXPECT_EQ(Record->Target, Target);
    EXPECT_EQ(Record->InitialSequence, Isn);
    EXPECT_EQ(Record->Phase, flow_phase::Opening);
  }
}

// Guards against a retransmitted SYN that reaches another target through another balancer.
TEST_F(fabric_with_opening_flow, RepeatedSynReachesTheSameTarget) {
  send(TcpSyn, Isn, 0, 0, 3);
  EXPECT_EQ(lastReachedTarget(), Target);
}

// Guards against a second SYN-ACK or a RST that reaches the caller from a target that doesn't hold
// the flow.
TEST_F(fabric_with_opening_flow, RepliesOfOtherTargetsAreDropped) {
  const target_id Other = Target == Net.targetId(0, 0) ? Net.targetId(0, 1) : Net.targetId(0, 0);
  sendReply(Other, TcpSyn | TcpAck, 5000, Isn + 1);
  refuse(Other);
  sendReply(Other, TcpFin | TcpAck, 5000, Isn + 1);
  EXPECT_TRUE(Net.AtCaller.empty());
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_EQ(Net.dropped(drop_reason::StaleReply), 3U);
}

// Guards against replies of a target that carry the address of another service.
TEST_F(fabric_with_opening_flow, RepliesOfAnotherServicesTargetAreDropped) {
  sendReply(Net.targetId(1, 0), TcpSyn | TcpAck, 5000, Isn + 1);
  sendReply(Net.targetId(1, 0), TcpAck, 5000, Isn + 1);
  EXPECT_TRUE(Net.AtCaller.empty());
  EXPECT_EQ(Net.dropped(drop_reason::WrongService), 2U);
}

// Guards against a refusal that reaches the caller while other targets may accept, and against
// endless retries.
TEST_F(fabric_with_opening_flow, RefusedSetupIsSentToOtherTargetsUpToTheLimit) {
  std::vector<target_id> Tried{Target};
  for (std::uint32_t I = 0; I < Net.Settings.SetupRetries; ++I) {
    SCOPED_TRACE(I);
    clearReceived();
    refuse(Tried.back());
    EXPECT_TRUE(Net.AtCaller.empty());
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    EXPECT_EQ(std::count(Tried.begin(), Tried.end(), lastReachedTarget()), 0);
    EXPECT_TRUE(parsed(Net.AtTargets[0].Packet).isSetup());
    Tried.push_back(lastReachedTarget());
    for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
      EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->Target, lastReachedTarget());
  }
  clearReceived();
  refuse(Tried.back());
  EXPECT_EQ(flagsAtCaller(), TcpRst | TcpAck);
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_EQ(observed(Target).Refused, 1U);
}

// Guards against packets that reach the refusing target after another one has accepted the setup.
TEST_F(fabric_with_opening_flow, RetriedSetupIsAcceptedByTheOtherTarget) {
  refuse(Target);
  const target_id Second = lastReachedTarget();
  clearReceived();
  // The first target's late SYN-ACK doesn't reach the caller.
  sendReply(Target, TcpSyn | TcpAck, 7000, Isn + 1);
  EXPECT_TRUE(Net.AtCaller.empty());
  sendReply(Second, TcpSyn | TcpAck, 5000, Isn + 1);
  EXPECT_EQ(flagsAtCaller(), TcpSyn | TcpAck);
  send(TcpAck, Isn + 1, 5001);
  EXPECT_EQ(lastReachedTarget(), Second);
}

// Guards against setups without a reply that aren't reported, and against retransmissions that
// count as separate setups.
TEST_F(fabric_with_opening_flow, SetupWithoutReplyIsReportedOnce) {
  send(TcpSyn, Isn);
  Net.advance(2 * Net.Settings.SetupTimeout);
  const target_observation Observation = observed(Target);
  EXPECT_EQ(Observation.Setups, 1U);
  EXPECT_EQ(Observation.TimedOut, 1U);
  EXPECT_EQ(Observation.Accepted, 0U);
}

// Guards against a setup that stays at a dead target.
TEST_F(fabric_with_opening_flow, SynGoesToAnotherTargetWhenTheFirstIsDead) {
  targetView(Target).Dead = true;
  targetView(Target).AcceptsNew = false;
  Net.publish();
  send(TcpSyn, Isn);
  EXPECT_NE(lastReachedTarget(), NoTarget);
  EXPECT_NE(lastReachedTarget(), Target);
}

// Guards against a result that depends on the balancer to which the fabric delivers a packet.
TEST_F(fabric_with_established_flow, PacketsReachTheTargetFromEachBalancer) {
  for (std::size_t Balancer = 0; Balancer < 6; ++Balancer) {
    SCOPED_TRACE(Balancer);
    clearReceived();
    send(TcpAck, Isn + 1, 5001, 100, Balancer);
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    EXPECT_EQ(lastReachedTarget(), Target);
  }
  EXPECT_EQ(observed(Target).Accepted, 1U);
}

// Guards against a caller that receives the SYN-ACK before all owners have recorded the flow as
// established.
TEST_F(fabric_with_established_flow, AllOwnersRecordItAsEstablished) {
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->Phase, flow_phase::Established);
}

// Guards against an open flow that is moved because its target drains.
TEST_F(fabric_with_established_flow, KeepsItsTargetWhileTheTargetDrains) {
  targetView(Target).AcceptsNew = false;
  Net.publish();
  send(TcpAck, Isn + 1, 5001, 100);
  EXPECT_EQ(lastReachedTarget(), Target);
}

// Guards against a late SYN of an earlier flow that moves an open flow to another target.
TEST_F(fabric_with_established_flow, LateSynDoesNotChangeTheFlow) {
  for (const bool Drains : {false, true}) {
    SCOPED_TRACE(Drains);
    targetView(Target).AcceptsNew = !Drains;
    Net.publish();
    send(TcpSyn, Isn - 77);
    EXPECT_EQ(lastReachedTarget(), Target);
    send(TcpAck, Isn + 1, 5001, 100);
    EXPECT_EQ(lastReachedTarget(), Target);
    EXPECT_EQ(Net.recordAt(owner(0), Key)->InitialSequence, Isn);
  }
}

// Guards against a caller that waits for a dead target until its own timeout.
TEST_F(fabric_with_established_flow, IsResetWhenItsTargetIsDead) {
  targetView(Target).Dead = true;
  Net.publish();
  send(TcpAck, Isn + 1, 5001, 100);
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_EQ(flagsAtCaller(), TcpRst);
  EXPECT_EQ(parsed(Net.AtCaller[0]).Sequence, 5001U);
  // A RST isn't answered.
  clearReceived();
  send(TcpRst, Isn + 1);
  EXPECT_TRUE(Net.AtCaller.empty());
}

// Guards against packets for a target that was removed or whose address belongs to another service.
TEST_F(fabric_with_established_flow, PacketsForAnUnknownTargetAreDropped) {
  std::erase_if(Net.Targets, [&](const target_view &View) { return View.Id == Target; });
  for (service_view &View : Net.Services)
    View.Targets.clear();
  for (std::uint32_t I = 0; I < Net.Targets.size(); ++I)
    Net.Services[Net.Targets[I].Service == service_id{1} ? 0 : 1].Targets.push_back(I);
  Net.publish();
  send(TcpAck, Isn + 1, 5001, 100);
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_EQ(Net.dropped(drop_reason::WrongService), 1U);
}

// Guards against packets that reach a target of the service that had the address before.
TEST_F(fabric_with_established_flow, PacketsAreDroppedWhenTheAddressMovesToAnotherService) {
  std::swap(Net.Services[0].Address, Net.Services[1].Address);
  Net.publish();
  send(TcpAck, Isn + 1, 5001, 100);
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_EQ(Net.dropped(drop_reason::WrongService), 1U);
}

// Guards against a silent flow that keeps its caller waiting, and against ending a flow while its
// target serves no other flow.
TEST_F(fabric_with_established_flow, SilentFlowIsEndedOnBothSides) {
  // Another flow of the same target makes progress.
  endpoint Other;
  target_id OtherTarget{};
  for (std::uint16_t I = 100; OtherTarget != Target || Net.firstOwner({Other, Service}) != owner(0);
       ++I) {
    clearReceived();
    Other = simulated_fabric::callerAddress(I);
    Net.forward(0, segment(Other, Service, TcpSyn, Isn));
    OtherTarget = lastReachedTarget();
  }
  const auto Progress = [&](std::uint32_t Acknowledgement) {
    Net.forward(0, segment(Other, Service, TcpAck, Isn + 1, Acknowledgement));
  };
  Progress(9000);
  for (int I = 0; I < 4; ++I) {
    clearReceived();
    send(TcpAck | TcpPsh, Isn + 1, 5001, 100);
    EXPECT_TRUE(Net.AtCaller.empty());
    if (I == 3)
      break;
    Net.advance(std::chrono::milliseconds(1600));
  }
  // Four arrivals within 4.8 s. The fifth is after 5 s, but the target has not served another flow
  // since the first.
  Net.advance(std::chrono::seconds(1));
  send(TcpAck | TcpPsh, Isn + 1, 5001, 100);
  EXPECT_TRUE(Net.AtCaller.empty());
  Progress(9500);
  clearReceived();
  Net.advance(std::chrono::seconds(1));
  send(TcpAck | TcpPsh, Isn + 1, 5001, 100);
  EXPECT_EQ(flagsAtCaller(), TcpRst);
  EXPECT_EQ(parsed(Net.AtCaller.at(0)).Sequence, 5001U);
  ASSERT_EQ(Net.AtTargets.size(), 1U);
  EXPECT_TRUE(parsed(Net.AtTargets[0].Packet).has(TcpRst));
  EXPECT_EQ(lastReachedTarget(), Target);
  EXPECT_EQ(observed(Target).Silent, 1U);
}

/// The caller sent FIN and waits for the rest of the reply.
class fabric_with_half_closed_flow : public fabric_with_established_flow {
protected:
  void SetUp() override {
    fabric_with_established_flow::SetUp();
    send(TcpFin | TcpAck, Isn + 1, 5001);
    EXPECT_EQ(lastReachedTarget(), Target);
    clearReceived();
  }
};

// Guards against removing the record of a flow whose caller closed its side early and waits for the
// reply longer than the retention of closed flows.
TEST_F(fabric_with_half_closed_flow, KeepsItsTargetWhileTheReplyTakesLong) {
  Net.advance(2 * Net.Settings.ClosedFlowRetention);
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex) {
    SCOPED_TRACE(OwnerIndex);
    const flow_record *Record = Net.recordAt(owner(OwnerIndex), Key);
    ASSERT_NE(Record, nullptr);
    EXPECT_EQ(Record->Phase, flow_phase::CallerFinished);
  }
  send(TcpAck, Isn + 2, 6001);
  EXPECT_EQ(lastReachedTarget(), Target);
}

// Guards against a flow that still counts as open after a FIN followed by a RST.
TEST_F(fabric_with_half_closed_flow, IsClosedByReset) {
  sendReply(Target, TcpRst | TcpAck, 5001, Isn + 2);
  EXPECT_EQ(Net.recordAt(owner(0), Key)->Phase, flow_phase::Closed);
}

/// Both sides closed the flow.
class fabric_with_closed_flow : public fabric_with_half_closed_flow {
protected:
  void SetUp() override {
    fabric_with_half_closed_flow::SetUp();
    sendReply(Target, TcpFin | TcpAck, 5001, Isn + 2);
    EXPECT_EQ(flagsAtCaller(), TcpFin | TcpAck);
    clearReceived();
  }
};

// Guards against a record of a closed flow that is removed too early or never.
TEST_F(fabric_with_closed_flow, AllOwnersHoldItUntilTheRetentionEnds) {
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->Phase, flow_phase::Closed);
  Net.advance(Net.Settings.ClosedFlowRetention + std::chrono::seconds(5));
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key), nullptr);
}

// Guards against a late reply of the old flow that reaches a new flow on the same 5-tuple at
// another target.
TEST_F(fabric_with_closed_flow, NewFlowKeepsTheTargetIfItTakesNewOnes) {
  send(TcpSyn, Isn + 5000);
  EXPECT_EQ(lastReachedTarget(), Target);
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex) {
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->InitialSequence, Isn + 5000);
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->Phase, flow_phase::Opening);
  }
}

// Guards against a new flow at a draining target because an earlier flow had the same 5-tuple.
TEST_F(fabric_with_closed_flow, NewFlowAvoidsADrainingTarget) {
  targetView(Target).AcceptsNew = false;
  Net.publish();
  send(TcpSyn, Isn + 5000);
  EXPECT_NE(lastReachedTarget(), NoTarget);
  EXPECT_NE(lastReachedTarget(), Target);
}

struct rejection {
  const char *Name;
  /// Prepares the fabric.
  void (*Prepare)(simulated_fabric &Net);
  drop_reason Reason;
};

class reject_all final : public admission_policy {
public:
  bool admit(request_class, instant) override { return false; }
  void recordOutcome(bool, instant) override {}
};

// Guards against a rejected setup that gets no error, and one that reaches a target although the
// error means that the request was not run.
TEST_F(fabric, RejectedSetupIsAnsweredWithAnErrorAndReachesNoTarget) {
  const rejection Table[] = {
      {"no target takes new flows",
       [](simulated_fabric &Fabric) {
         for (target_view &Target : Fabric.Targets)
           Target.AcceptsNew = false;
       },
       drop_reason::NoTarget},
      {"admission control",
       [](simulated_fabric &Fabric) {
         Fabric.Admission = [](service_id) { return std::make_unique<reject_all>(); };
         for (std::size_t I = 0; I < 6; ++I)
           Fabric.restart(I);
       },
       drop_reason::Rejected},
      {"full flow table",
       [](simulated_fabric &Fabric) {
         Fabric.Admission = {};
         Fabric.Settings.MaxFlows = 0;
         for (target_view &Target : Fabric.Targets)
           Target.AcceptsNew = true;
         for (std::size_t I = 0; I < 6; ++I)
           Fabric.restart(I);
       },
       drop_reason::TableFull},
  };
  for (const rejection &Case : Table) {
    SCOPED_TRACE(Case.Name);
    if (Case.Reason == drop_reason::Rejected) {
      for (target_view &Target : Net.Targets)
        Target.AcceptsNew = true;
    }
    Case.Prepare(Net);
    Net.publish();
    Net.advance(Net.Settings.ConvergencePeriod);
    clearReceived();
    send(TcpSyn, Isn);
    EXPECT_EQ(flagsAtCaller(), TcpRst | TcpAck);
    EXPECT_EQ(Net.dropped(Case.Reason), 1U);
    clearReceived();
    Net.forward(0, datagram(Caller, Service));
    ASSERT_EQ(Net.AtCaller.size(), 1U);
    // ICMP type 3, code 13: administratively prohibited.
    EXPECT_EQ(Net.AtCaller[0][20], std::byte{3});
    EXPECT_EQ(Net.AtCaller[0][21], std::byte{13});
    EXPECT_TRUE(Net.AtTargets.empty());
  }
}

// Guards against forwarding packets that are malformed or addressed to no service.
TEST_F(fabric, PacketsForNoServiceAreDropped) {
  Net.forward(0, segment(Caller, {Service.Address, 81}, TcpSyn, Isn));
  Net.forward(0, segment(Caller, Caller, TcpSyn, Isn));
  Net.forward(0, bytes(10));
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_TRUE(Net.AtCaller.empty());
  EXPECT_EQ(Net.dropped(drop_reason::NoService), 2U);
  EXPECT_EQ(Net.dropped(drop_reason::Malformed), 1U);
}

// Guards against packets that are handled before the first view.
TEST_F(fabric, BalancerWithoutViewDropsEverything) {
  Net.restart(0);
  send(TcpSyn, Isn);
  sendReply(Net.targetId(0, 0), TcpSyn | TcpAck, 1, Isn + 1, 0);
  Net.plane(0).handleHandover({}, segment(Caller, Service, TcpSyn, Isn), Net.Now);
  Net.plane(0).tick(Net.Now);
  EXPECT_TRUE(Net.AtTargets.empty());
  EXPECT_EQ(Net.dropped(drop_reason::NoOwner), 3U);
}

} // namespace
} // namespace briarpoint::testing
