#include "tests/forward/forward_support.h"

namespace briarpoint {
namespace {

class forwarding_to_two_targets : public forwarding_to_one_target {
protected:
  target &Second = add("i-2", 2);
};

// Guards against a crash by a late copy of the packet that opened a flow, after a packet of the
// same flow came with a token that nobody knows.
TEST_F(forwarding_to_two_targets, placesAFlowAnewAfterAnUnknownToken) {
  open(7);
  send(7, makeFlowToken(77), 500);
  expectDecision(open(7, 1), forward_action::Forward, forward_reason::Placed);
}

// Guards against two targets that answer one caller, which would confuse it about the token.
TEST_F(forwarding_to_two_targets, sendsRepeatsOfAnOpenToTheSameTarget) {
  const forward_decision Placed = open(7);
  Now += milliseconds(200);
  const forward_decision Again = open(7, 1);
  expectDecision(Again, forward_action::Forward, forward_reason::PlacedAgain);
  EXPECT_EQ(Again.Target, Placed.Target);
}

// Guards against callers that try a dead target three times and give up.
TEST_F(forwarding_to_two_targets, movesARepeatedOpenAwayFromASuspectedTarget) {
  const forward_decision Placed = open(7);
  Now += milliseconds(200);
  open(7, 1);
  Now += milliseconds(400);
  EXPECT_NE(open(7, 2).Target, Placed.Target);
}

// Guards against a second target for a flow that another balancer opened while this one stood still
// (soak, seed 214): the caller took the token of the late answer, and its flow ended.
TEST_F(forwarding_to_two_targets, dropsOpensThatWaitedWhileItStoodStill) {
  for (const bool SweptFirst : {true, false}) {
    SCOPED_TRACE(SweptFirst);
    sweep();
    Now += seconds(3);
    if (SweptFirst)
      sweep();
    expectDecision(open(7), forward_action::Drop, forward_reason::Stale);
    expectDecision(send(8, First.Token, 500), forward_action::Forward, forward_reason::Open);
    sweep();
    Now += milliseconds(200);
    EXPECT_EQ(open(7, 1).Action, forward_action::Forward);
    Now += seconds(1);
  }
}

// Guards against a balancer that takes its own delay for a silent target: the repeats waited in its
// queue behind the packets that they repeat.
TEST_F(forwarding_to_two_targets, ignoresRepeatsThatArriveTogetherWithTheirOriginals) {
  for (std::uint16_t Port = 1; Port < 20; ++Port) {
    const target *Target = open(Port).Target;
    EXPECT_EQ(open(Port, 1).Target, Target);
    EXPECT_EQ(open(Port, 2).Target, Target);
  }
  EXPECT_EQ(First.Health.repeats() + Second.Health.repeats(), 0U);
}

// Guards against a crashed host that draws all callers: it refuses each at once, directly to the
// caller, and the retry came back to it (Holmgren's trouble-3: 412 tries).
TEST_F(forwarding_to_two_targets, avoidsATargetThatCompletesNoHandshake) {
  const target *Refusing = open(1).Target;
  Now += milliseconds(40);
  for (std::uint16_t Port = 2; Port < 30; ++Port) {
    const forward_decision Placed = open(Port);
    EXPECT_NE(Placed.Target, Refusing) << Port;
    Now += milliseconds(4);
    send(Port, Placed.Target->Token, 500, 0, 0);
  }
  // It is tried again after the doubt has lapsed.
  Now += seconds(2);
  std::uint16_t Port = 100;
  while (Port < 110 && open(Port).Target != Refusing)
    ++Port;
  EXPECT_LT(Port, 110);
}

// Guards against a caller whose tries all end at the same crashed host within milliseconds, before
// a doubt is raised (incident of Holmgren: statements refused three times).
TEST_F(forwarding_to_two_targets, placesARefusedCallersNextTryElsewhere) {
  oneCaller();
  for (std::uint16_t Port = 1; Port < 40; Port = static_cast<std::uint16_t>(Port + 2)) {
    sweep();
    const target *Refusing = open(Port).Target;
    Now += milliseconds(3);
    EXPECT_NE(open(static_cast<std::uint16_t>(Port + 1)).Target, Refusing) << Port;
    Now += milliseconds(3);
  }
}

TEST_F(forwarding_to_two_targets, trustsATargetAgainThatAnswersAnyCaller) {
  target *Doubted = openAnswered(1);
  while (open(2).Target != Doubted)
    Now += milliseconds(1);
  Now += milliseconds(40);
  EXPECT_TRUE(Doubted->Health.handshakeOverdue(Now));
  send(1, Doubted->Token, 700);
  EXPECT_FALSE(Doubted->Health.handshakeOverdue(Now));
}

class forwarding_to_a_silent_target : public forwarding_to_two_targets {
protected:
  forwarding_to_a_silent_target() {
    for (std::uint16_t Port = 1; Port <= 12; ++Port)
      if (openAnswered(Port) == &First)
        Ports.push_back(Port);
  }
  /// Callers of the first target send, and repeat after 200 ms, all but the last of them.
  void sendWithoutAnswer() {
    for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
      send(Ports[I], First.Token, 500);
    Now += milliseconds(200);
    for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
      EXPECT_EQ(send(Ports[I], First.Token, 500).Action, forward_action::Forward);
  }
  /// They repeat once more, 600 ms after they sent.
  void repeatAgain() {
    Now += milliseconds(400);
    for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
      if (Forwarder.decide(packetOf(Ports[I]), Now).Action == forward_action::Reset)
        Ended.push_back(Ports[I]);
  }
  caller_packet packetOf(std::uint16_t Port) const {
    caller_packet Packet;
    Packet.Flow = flowFrom(Port);
    Packet.Sequence = 1001U + Port;
    Packet.Acknowledged = 500;
    Packet.Token = First.Token;
    Packet.DataSize = 100;
    return Packet;
  }
  std::vector<std::uint16_t> Ports;
  /// Flows that were reset at their repeat.
  std::vector<std::uint16_t> Ended;
};

// Guards against flows that end while their target may only be slow.
TEST_F(forwarding_to_a_silent_target, keepsFlowsForTheTimeInWhichAWorkingTargetAnswers) {
  ASSERT_GE(Ports.size(), 3U);
  sendWithoutAnswer();
  Now += milliseconds(350);
  EXPECT_TRUE(sweep().empty());
}

// Guards against a reset of a flow that another balancer has placed on a working target meanwhile
// (soak, seed 20): this one only saw how the flow was to be opened.
TEST_F(forwarding_to_a_silent_target, doesNotEndAFlowThatIsNotOpen) {
  sendWithoutAnswer();
  Second.Health.onRepeat(0, Now);
  Second.Health.onRepeat(0, Now);
  std::uint16_t Port = 100;
  while (open(Port).Target != &First)
    ++Port;
  repeatAgain();
  const std::vector<std::uint16_t> Swept = sweep();
  EXPECT_FALSE(Swept.empty());
  EXPECT_EQ(std::count(Swept.begin(), Swept.end(), Port), 0);
}

// Guards against requests that are sent to a dead target: idle flows end, too, so that their
// callers open new ones before the next request.
TEST_F(forwarding_to_a_silent_target, endsAllItsFlowsAfterThat) {
  ASSERT_GE(Ports.size(), 3U);
  sendWithoutAnswer();
  repeatAgain();
  const std::vector<std::uint16_t> Swept = sweep();
  Ended.insert(Ended.end(), Swept.begin(), Swept.end());
  std::sort(Ended.begin(), Ended.end());
  EXPECT_EQ(Ended, Ports);
}

// Guards against flows of a working target that end because time passes (a varied day of
// start_without_store): the callers whose repeats were seen gave up, and nobody else repeats.
TEST_F(forwarding_to_a_silent_target, keepsFlowsIfNobodyRepeatsAnyMore) {
  sendWithoutAnswer();
  Now += milliseconds(400);
  EXPECT_TRUE(sweep().empty());
  EXPECT_EQ(send(999, First.Token, 500).Action, forward_action::Forward);
  Now += seconds(1);
  EXPECT_TRUE(sweep().empty());
}

TEST_F(forwarding_to_a_silent_target, doesNotEndNewFlowsLongAfterTheLastRepeat) {
  sendWithoutAnswer();
  repeatAgain();
  Now += seconds(1);
  EXPECT_EQ(send(999, First.Token, 500).Action, forward_action::Forward);
}

// Guards against broken flows at a target that lost one packet, or is slow for one caller.
TEST_F(forwarding_to_a_silent_target, keepsFlowsIfAnyCallerHasAnAnswer) {
  ASSERT_GE(Ports.size(), 3U);
  sendWithoutAnswer();
  send(Ports[0], First.Token, 900);
  Now += milliseconds(400);
  EXPECT_TRUE(sweep().empty());
}

// Guards against flows that came from another balancer after the others had ended, and whose
// callers would wait once more.
TEST_F(forwarding_to_a_silent_target, endsFlowsOfOtherBalancersAtTheirFirstPacket) {
  sendWithoutAnswer();
  repeatAgain();
  expectDecision(send(999, First.Token, 500), forward_action::Reset, forward_reason::TargetSilent);
}

// Guards against a caller that is alone with a dead target at this balancer: it has time for
// another try if its flow ends at the third repeat.
TEST_F(forwarding_to_a_silent_target, endsASingleFlowAtItsThirdRepeat) {
  send(Ports[0], First.Token, 500);
  for (const int Wait : {200, 400}) {
    Now += milliseconds(Wait);
    EXPECT_EQ(send(Ports[0], First.Token, 500).Action, forward_action::Forward);
  }
  Now += milliseconds(800);
  expectDecision(send(Ports[0], First.Token, 500), forward_action::Reset,
                 forward_reason::TargetSilent);
}

TEST_F(forwarding_to_a_silent_target, placesNewFlowsElsewhere) {
  sendWithoutAnswer();
  for (std::uint16_t Port = 100; Port < 120; ++Port)
    EXPECT_EQ(open(Port).Target, &Second);
}

} // namespace
} // namespace briarpoint
