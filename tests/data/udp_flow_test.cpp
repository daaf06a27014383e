#include "tests/data/fabric_support.h"

namespace briarpoint::testing {
namespace {

/// The caller's first datagram was answered.
class fabric_with_udp_flow : public fabric {
protected:
  void SetUp() override {
    Key.Protocol = transport::Udp;
    request();
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    Target = lastReachedTarget();
    respond(Target);
    ASSERT_EQ(Net.AtCaller.size(), 1U);
    clearReceived();
  }

  void request(std::size_t Balancer = 0) { Net.forward(Balancer, datagram(Caller, Service)); }
  void respond(target_id From, std::size_t Balancer = 2) {
    Net.reply(Balancer, From, datagram(Service, Caller));
  }

  target_id Target{};
};

// Guards against a result that depends on the balancer that receives a datagram.
TEST_F(fabric_with_udp_flow, DatagramsOfEachBalancerReachTheTarget) {
  for (std::size_t Balancer = 0; Balancer < 6; ++Balancer) {
    request(Balancer);
    EXPECT_EQ(lastReachedTarget(), Target);
  }
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->Phase, flow_phase::Established);
}

// Guards against a reply that reaches the caller from a target that doesn't hold the flow.
TEST_F(fabric_with_udp_flow, RepliesOfOtherTargetsAreDropped) {
  respond(Target == Net.targetId(0, 0) ? Net.targetId(0, 1) : Net.targetId(0, 0));
  EXPECT_TRUE(Net.AtCaller.empty());
  EXPECT_EQ(Net.dropped(drop_reason::StaleReply), 1U);
}

// Guards against a single ICMP message that moves an established flow to another target.
TEST_F(fabric_with_udp_flow, PortUnreachableOfTheTargetReachesTheCaller) {
  const bytes Request = datagram(Caller, Service);
  const built_packet Error = buildPortUnreachable(parsed(Request));
  Net.reply(3, Target, {Error.bytes().begin(), Error.bytes().end()});
  EXPECT_EQ(Net.AtCaller.size(), 1U);
  EXPECT_TRUE(Net.AtTargets.empty());
}

// Guards against a flow that stays at a dead target.
TEST_F(fabric_with_udp_flow, GetsAnotherTargetWhenItsTargetIsDead) {
  targetView(Target).Dead = true;
  targetView(Target).AcceptsNew = false;
  Net.publish();
  request();
  EXPECT_NE(lastReachedTarget(), NoTarget);
  EXPECT_NE(lastReachedTarget(), Target);
  const target_id Second = lastReachedTarget();
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key)->Target, Second);
}

// Guards against a caller that sends to a silent target for ever. After the ICMP error, the next
// datagram opens a flow at another target.
TEST_F(fabric_with_udp_flow, SilentFlowIsEndedAndReopenedAtAnotherTarget) {
  // Another flow of the same target at the same owner is answered.
  endpoint Other;
  target_id OtherTarget{};
  for (std::uint16_t I = 100;
       OtherTarget != Target || Net.firstOwner({Other, Service, transport::Udp}) != owner(0); ++I) {
    Other = simulated_fabric::callerAddress(I);
    Net.forward(0, datagram(Other, Service));
    OtherTarget = lastReachedTarget();
  }
  clearReceived();
  for (int I = 0; I < 4; ++I) {
    request();
    EXPECT_TRUE(Net.AtCaller.empty());
    Net.advance(std::chrono::milliseconds(1500));
  }
  Net.reply(0, Target, datagram(Service, Other));
  clearReceived();
  request();
  ASSERT_EQ(Net.AtCaller.size(), 1U);
  icmp_error_view Error;
  ASSERT_TRUE(parseIcmpError(Net.AtCaller[0], Error));
  EXPECT_EQ(Error.Quoted, Key);
  EXPECT_TRUE(Net.AtTargets.empty());
  request();
  EXPECT_NE(lastReachedTarget(), NoTarget);
  EXPECT_NE(lastReachedTarget(), Target);
}

// Guards against records of idle flows that are never removed.
TEST_F(fabric_with_udp_flow, IsRemovedAfterTheIdleTimeout) {
  Net.advance(Net.Settings.UdpIdleTimeout + std::chrono::seconds(5));
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_EQ(Net.recordAt(owner(OwnerIndex), Key), nullptr);
}

// Guards against owners that remove the record of a flow in use because only the first owner
// handles its packets.
TEST_F(fabric_with_udp_flow, FlowInUseIsKeptByAllOwners) {
  for (int I = 0; I < 20; ++I) {
    Net.advance(std::chrono::seconds(40));
    request();
    EXPECT_EQ(lastReachedTarget(), Target);
    respond(Target);
  }
  for (std::size_t OwnerIndex = 0; OwnerIndex < OwnerCount; ++OwnerIndex)
    EXPECT_NE(Net.recordAt(owner(OwnerIndex), Key), nullptr);
}

// Guards against a refusal that reaches the caller although another target would accept.
TEST_F(fabric, RefusedDatagramIsSentToAnotherTarget) {
  const bytes Request = datagram(Caller, Service);
  Net.forward(0, Request);
  const target_id First = lastReachedTarget();
  clearReceived();
  const built_packet Error = buildPortUnreachable(parsed(Request));
  Net.reply(3, First, {Error.bytes().begin(), Error.bytes().end()});
  EXPECT_TRUE(Net.AtCaller.empty());
  ASSERT_EQ(Net.AtTargets.size(), 1U);
  EXPECT_NE(lastReachedTarget(), First);
  EXPECT_EQ(Net.AtTargets[0].Packet, Request);
}

} // namespace
} // namespace briarpoint::testing
