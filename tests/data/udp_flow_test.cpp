#include "tests/data/fabric_support.h"

namespace briarpoint::testing {
namespace {

/// A caller's datagram was answered.
class fabric_with_udp_flow : public fabric {
protected:
  void SetUp() override {
    Key.Protocol = transport::Udp;
    request();
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    Target = reached();
    respond(Target);
    ASSERT_EQ(Net.AtCaller.size(), 1U);
    forget();
  }

  void request(std::size_t At = 0) { Net.forward(At, datagram(Caller, Service)); }
  void respond(target_id From, std::size_t At = 2) {
    Net.reply(At, From, datagram(Service, Caller));
  }

  target_id Target{};
};

TEST_F(fabric_with_udp_flow, DatagramsOfEachBalancerReachTheTarget) {
  for (std::size_t At = 0; At < 6; ++At) {
    request(At);
    EXPECT_EQ(reached(), Target);
  }
  for (std::size_t Place = 0; Place < OwnerCount; ++Place)
    EXPECT_EQ(Net.recordAt(owner(Place), Key)->Phase, flow_phase::Established);
}

TEST_F(fabric_with_udp_flow, RepliesOfOtherTargetsAreWithheld) {
  respond(Target == Net.targetId(0, 0) ? Net.targetId(0, 1) : Net.targetId(0, 0));
  EXPECT_TRUE(Net.AtCaller.empty());
  EXPECT_EQ(Net.dropped(drop_reason::StaleReply), 1U);
}

// Guards against an established flow that is moved to another target by a single ICMP message.
TEST_F(fabric_with_udp_flow, PortUnreachableOfTheTargetReachesTheCaller) {
  const bytes Request = datagram(Caller, Service);
  const built_packet Error = buildPortUnreachable(parsed(Request));
  Net.reply(3, Target, {Error.bytes().begin(), Error.bytes().end()});
  EXPECT_EQ(Net.AtCaller.size(), 1U);
  EXPECT_TRUE(Net.AtTargets.empty());
}

TEST_F(fabric_with_udp_flow, IsSetUpAnewWhenItsTargetIsDead) {
  targetView(Target).Dead = true;
  targetView(Target).AcceptsNew = false;
  Net.publish();
  request();
  EXPECT_NE(reached(), NoTarget);
  EXPECT_NE(reached(), Target);
  const target_id Second = reached();
  for (std::size_t Place = 0; Place < OwnerCount; ++Place)
    EXPECT_EQ(Net.recordAt(owner(Place), Key)->Target, Second);
}

// Guards against a caller that sends to a silent target for ever. The next datagram starts anew at
// another target.
TEST_F(fabric_with_udp_flow, SilentFlowIsEndedAndSetUpAnew) {
  // Another flow of the same target at the same owner is answered.
  endpoint Other;
  target_id OtherTarget{};
  for (std::uint16_t I = 100;
       OtherTarget != Target || Net.firstOwner({Other, Service, transport::Udp}) != owner(0); ++I) {
    Other = exchange::callerAddress(I);
    Net.forward(0, datagram(Other, Service));
    OtherTarget = reached();
  }
  forget();
  for (int I = 0; I < 4; ++I) {
    request();
    EXPECT_TRUE(Net.AtCaller.empty());
    Net.advance(std::chrono::milliseconds(1500));
  }
  Net.reply(0, Target, datagram(Service, Other));
  forget();
  request();
  ASSERT_EQ(Net.AtCaller.size(), 1U);
  icmp_error_view Error;
  ASSERT_TRUE(parseIcmpError(Net.AtCaller[0], Error));
  EXPECT_EQ(Error.Quoted, Key);
  EXPECT_TRUE(Net.AtTargets.empty());
  request();
  EXPECT_NE(reached(), NoTarget);
  EXPECT_NE(reached(), Target);
}

TEST_F(fabric_with_udp_flow, IsForgottenAfterTheIdleTime) {
  Net.advance(Net.Settings.UdpIdleTimeout + std::chrono::seconds(5));
  for (std::size_t Place = 0; Place < OwnerCount; ++Place)
    EXPECT_EQ(Net.recordAt(owner(Place), Key), nullptr);
}

// Guards against replicas that forget a flow in use, because they don't see its packets.
TEST_F(fabric_with_udp_flow, FlowInUseIsKeptByAllOwners) {
  for (int I = 0; I < 20; ++I) {
    Net.advance(std::chrono::seconds(40));
    request();
    EXPECT_EQ(reached(), Target);
    respond(Target);
  }
  for (std::size_t Place = 0; Place < OwnerCount; ++Place)
    EXPECT_NE(Net.recordAt(owner(Place), Key), nullptr);
}

// Guards against a refusal that reaches the caller although another target would accept.
TEST_F(fabric, RefusedDatagramIsTriedAtAnotherTarget) {
  const bytes Request = datagram(Caller, Service);
  Net.forward(0, Request);
  const target_id First = reached();
  forget();
  const built_packet Error = buildPortUnreachable(parsed(Request));
  Net.reply(3, First, {Error.bytes().begin(), Error.bytes().end()});
  EXPECT_TRUE(Net.AtCaller.empty());
  ASSERT_EQ(Net.AtTargets.size(), 1U);
  EXPECT_NE(reached(), First);
  EXPECT_EQ(Net.AtTargets[0].Packet, Request);
}

} // namespace
} // namespace briarpoint::testing
