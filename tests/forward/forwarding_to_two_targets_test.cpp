#include "tests/forward/forward_support.h"

namespace briarpoint {
namespace {

class forwarding_to_two_targets : public forwarding_to_one_target {
protected:
  target &Second = add("i-2", 2);
};

// Guards against a crash: a late copy of the packet that opened a flow arrives after a packet of
// the same flow with an unknown token.
TEST_F(forwarding_to_two_targets, reassignsAFlowAfterAnUnknownToken) {
  open(7);
  send(7, makeFlowToken(77), 500);
  expectDecision(open(7, 1), forward_action::Forward, forward_reason::Placed);
}

// Guards against answers from two targets: the caller would receive two different tokens.
TEST_F(forwarding_to_two_targets, sendsRepeatsOfAnOpenToTheSameTarget) {
  const forward_decision Placed = open(7);
  Now += milliseconds(200);
  const forward_decision Again = open(7, 1);
  expectDecision(Again, forward_action::Forward, forward_reason::PlacedAgain);
  EXPECT_EQ(Again.Target, Placed.Target);
}

// Guards against callers whose packet is sent to a dead target three times before they give up.
TEST_F(forwarding_to_two_targets, movesARepeatedOpenAwayFromASuspectedTarget) {
  const forward_decision Placed = open(7);
  Now += milliseconds(200);
  open(7, 1);
  Now += milliseconds(400);
  EXPECT_NE(open(7, 2).Target, Placed.Target);
}

// Guards against a second target for a flow that another balancer opened while this one was paused:
// the caller adopts the token of the late answer, and its flow ends (soak, seed 214).
TEST_F(forwarding_to_two_targets, dropsOpensThatWaitedDuringAPause) {
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

// Guards against suspicion of a target because of the balancer's own delay: the repeats were queued
// behind the packets that they repeat.
TEST_F(forwarding_to_two_targets, ignoresRepeatsThatArriveTogetherWithTheirOriginals) {
  for (std::uint16_t Port = 1; Port < 20; ++Port) {
    const target *Target = open(Port).Target;
    EXPECT_EQ(open(Port, 1).Target, Target);
    EXPECT_EQ(open(Port, 2).Target, Target);
  }
  EXPECT_EQ(First.Health.repeats() + Second.Health.repeats(), 0U);
}

// Guards against a crashed target that attracts all callers: it refuses each flow at once, directly
// to the caller, and the next attempt is assigned to it again (Holmgren's trouble-3: 412 attempts).
TEST_F(forwarding_to_two_targets, avoidsATargetThatCompletesNoHandshake) {
  const target *Refusing = open(1).Target;
  Now += milliseconds(40);
  for (std::uint16_t Port = 2; Port < 30; ++Port) {
    const forward_decision Placed = open(Port);
    EXPECT_NE(Placed.Target, Refusing) << Port;
    Now += milliseconds(4);
    send(Port, Placed.Target->Token, 500, 0, 0);
  }
  // It is tried again after the back-off.
  Now += seconds(2);
  std::uint16_t Port = 100;
  while (Port < 110 && open(Port).Target != Refusing)
    ++Port;
  EXPECT_LT(Port, 110);
}

// Guards against a caller whose attempts are all assigned to the same crashed target within
// milliseconds, before its handshake is overdue (incident of Holmgren: statements refused three
// times).
TEST_F(forwarding_to_two_targets, assignsARefusedCallersNextAttemptToAnotherTarget) {
  useOneCallerAddress();
  for (std::uint16_t Port = 1; Port < 40; Port = static_cast<std::uint16_t>(Port + 2)) {
    sweep();
    const target *Refusing = open(Port).Target;
    Now += milliseconds(3);
    EXPECT_NE(open(static_cast<std::uint16_t>(Port + 1)).Target, Refusing) << Port;
    Now += milliseconds(3);
  }
}

// Guards against a working target that is avoided because one caller didn't complete its handshake.
TEST_F(forwarding_to_two_targets, acceptsAnOverdueTargetOnceItAnswersAnyCaller) {
  target *Overdue = openAnswered(1);
  while (open(2).Target != Overdue)
    Now += milliseconds(1);
  Now += milliseconds(40);
  EXPECT_TRUE(Overdue->Health.handshakeOverdue(Now));
  send(1, Overdue->Token, 700);
  EXPECT_FALSE(Overdue->Health.handshakeOverdue(Now));
}

class forwarding_to_a_silent_target : public forwarding_to_two_targets {
protected:
  forwarding_to_a_silent_target() {
    for (std::uint16_t Port = 1; Port <= 12; ++Port)
      if (openAnswered(Port) == &First)
        Ports.push_back(Port);
  }
  /// All callers of the first target but the last one send, and repeat after 200 ms.
  void sendWithoutAnswer() {
    for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
      send(Ports[I], First.Token, 500);
    Now += milliseconds(200);
    for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
      EXPECT_EQ(send(Ports[I], First.Token, 500).Action, forward_action::Forward);
  }
  /// The same callers repeat once more, 600 ms after they sent.
  void repeatAgain() {
    Now += milliseconds(400);
    for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
      if (Forwarder.decide(packetOf(Ports[I]), Now).Action == forward_action::Reset)
        ResetPorts.push_back(Ports[I]);
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
  /// Ports of the flows to the first target.
  std::vector<std::uint16_t> Ports;
  /// Ports of the flows that were reset at their second repeat.
  std::vector<std::uint16_t> ResetPorts;
};

// Guards against resets of flows whose target may only be slow.
TEST_F(forwarding_to_a_silent_target, keepsFlowsForTheTimeInWhichAWorkingTargetAnswers) {
  ASSERT_GE(Ports.size(), 3U);
  sendWithoutAnswer();
  Now += milliseconds(350);
  EXPECT_TRUE(sweep().empty());
}

// Guards against a reset of a flow that another balancer has meanwhile assigned to a working
// target: this balancer has only received the packet that opens the flow (soak, seed 20).
TEST_F(forwarding_to_a_silent_target, doesNotEndAFlowThatIsStillOpening) {
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

// Guards against requests to a dead target: idle flows are reset, too, so that their callers open
// new ones before the next request.
TEST_F(forwarding_to_a_silent_target, endsAllItsFlowsOnceItCountsAsDead) {
  ASSERT_GE(Ports.size(), 3U);
  sendWithoutAnswer();
  repeatAgain();
  const std::vector<std::uint16_t> Swept = sweep();
  // Guards against a silent target that logs and counters show as gone.
  EXPECT_EQ(SweepReason, forward_reason::TargetSilent);
  ResetPorts.insert(ResetPorts.end(), Swept.begin(), Swept.end());
  std::sort(ResetPorts.begin(), ResetPorts.end());
  EXPECT_EQ(ResetPorts, Ports);
}

// Guards against resets of flows of a working target only because time has passed: the callers that
// repeated gave up, and no other caller repeats (a varied day of start_without_store).
TEST_F(forwarding_to_a_silent_target, keepsFlowsOnceNoCallerRepeats) {
  sendWithoutAnswer();
  Now += milliseconds(400);
  EXPECT_TRUE(sweep().empty());
  EXPECT_EQ(send(999, First.Token, 500).Action, forward_action::Forward);
  Now += seconds(1);
  EXPECT_TRUE(sweep().empty());
}

// Guards against resets because of repeats that are a second old.
TEST_F(forwarding_to_a_silent_target, doesNotEndNewFlowsLongAfterTheLastRepeat) {
  sendWithoutAnswer();
  repeatAgain();
  Now += seconds(1);
  EXPECT_EQ(send(999, First.Token, 500).Action, forward_action::Forward);
}

// Guards against resets at a working target by repeats of two callers that are seconds apart: the
// first one's answer is seen only when that caller sends again.
TEST_F(forwarding_to_a_silent_target, keepsFlowsIfRepeatsAreFarApart) {
  ASSERT_GE(Ports.size(), 3U);
  for (std::size_t I = 0; I < 3; ++I) {
    send(Ports[I], First.Token, 500);
    Now += milliseconds(200);
    EXPECT_EQ(send(Ports[I], First.Token, 500).Action, forward_action::Forward);
    EXPECT_TRUE(sweep().empty());
    Now += milliseconds(900);
  }
}

// Guards against repeats that count as the target's silence although they, or what they repeat,
// waited in this balancer's queue while it was paused.
TEST_F(forwarding_to_a_silent_target, ignoresRepeatsThatWaitedDuringAPause) {
  for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
    send(Ports[I], First.Token, 500);
  sweep();
  Now += seconds(3);
  for (std::size_t I = 0; I + 1 < Ports.size(); ++I)
    EXPECT_EQ(send(Ports[I], First.Token, 500).Action, forward_action::Forward);
  EXPECT_EQ(First.Health.repeats(), 0U);
  EXPECT_TRUE(sweep().empty());
}

// Guards against a target that counts as dead for longer than its callers' repeats show.
TEST_F(forwarding_to_a_silent_target, countsAsDeadForASecondAfterTheLastRepeat) {
  sendWithoutAnswer();
  repeatAgain();
  EXPECT_TRUE(First.Health.dead(Now + milliseconds(999)));
  EXPECT_FALSE(First.Health.dead(Now + seconds(1)));
  EXPECT_TRUE(First.Health.silent(Now + milliseconds(1999)));
  EXPECT_FALSE(First.Health.silent(Now + seconds(2)));
}

// Guards against broken flows to a target that lost one packet or is slow for one caller.
TEST_F(forwarding_to_a_silent_target, keepsFlowsIfAnyCallerGetsAnAnswer) {
  ASSERT_GE(Ports.size(), 3U);
  sendWithoutAnswer();
  send(Ports[0], First.Token, 900);
  Now += milliseconds(400);
  EXPECT_TRUE(sweep().empty());
}

// Guards against another wait for callers whose flows reach this balancer from another one after it
// has reset all flows to the target. The target may have started again at another address, so proof
// is needed that its entry here is the one under which they were opened.
TEST_F(forwarding_to_a_silent_target, endsFlowsOfOtherBalancersOnceItsEntryIsProvenCurrent) {
  sendWithoutAnswer();
  repeatAgain();
  Forwarder.setTargetsCurrentAt(Now);
  expectDecision(send(999, First.Token, 500), forward_action::Forward, forward_reason::Open);
  EXPECT_EQ(Forwarder.proofNeededAfter(), Now);
  Forwarder.setTargetsCurrentAt(Now + milliseconds(1));
  expectDecision(send(999, First.Token, 500), forward_action::Reset, forward_reason::TargetSilent);
}

// Guards against a late reset for the only caller of a dead target at this balancer: if its flow is
// reset at the third repeat, it still has time for another attempt.
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

// Guards against new flows to a target whose callers get no answers.
TEST_F(forwarding_to_a_silent_target, assignsNewFlowsToOtherTargets) {
  sendWithoutAnswer();
  for (std::uint16_t Port = 100; Port < 120; ++Port)
    EXPECT_EQ(open(Port).Target, &Second);
}

} // namespace
} // namespace briarpoint
