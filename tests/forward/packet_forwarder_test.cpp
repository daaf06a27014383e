#include "tests/forward/forward_support.h"

namespace briarpoint {
namespace {

void expectDecision(const forward_decision &Decision, forward_action Action,
                    forward_reason Reason) {
  EXPECT_EQ(toString(Decision.Action), toString(Action));
  EXPECT_EQ(toString(Decision.Reason), toString(Reason));
}

// Guards against decisions without knowledge: a reset would end flows that other balancers serve.
TEST(packet_forwarder_at_start, dropsPacketsUntilRoutesAndTargetsAreKnown) {
  seeded_random Random(1);
  route_table Routes;
  recording_observer Observer;
  target_registry Targets({});
  packet_forwarder Forwarder({}, Routes, Targets, Random, Observer);
  caller_packet Packet;
  Packet.Opens = true;
  expectDecision(Forwarder.decide(Packet, instant{}), forward_action::Drop,
                 forward_reason::NotReady);
  Routes.apply({1, {}, seconds(15)});
  expectDecision(Forwarder.decide(Packet, instant{}), forward_action::Drop,
                 forward_reason::NotReady);
  // An empty list says that the entries lapsed, not that there is nothing to serve.
  Forwarder.setTargetsKnown();
  expectDecision(Forwarder.decide(Packet, instant{}), forward_action::Drop,
                 forward_reason::NotReady);
  target_registration Registration;
  Registration.Name = "i-1";
  Targets.put(Registration, instant{});
  expectDecision(Forwarder.decide(Packet, instant{}), forward_action::Reset,
                 forward_reason::NoRoute);
}

class forwarding_without_targets : public forwarding {
protected:
  forwarding_without_targets() {
    target_registration Other = registration("i-9", 9);
    Other.Service = "mail";
    Targets.put(Other, Now);
  }
};

// Guards against callers that wait for what can't be served.
TEST_F(forwarding_without_targets, resetsWhatCannotBeServedAtOnce) {
  expectDecision(open(1), forward_action::Reset, forward_reason::NoTarget);
  caller_packet Packet;
  Packet.Flow = {{1, 1}, {2, 2}};
  Packet.Opens = true;
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Reset, forward_reason::NoRoute);
}

// Guards against a reset as the answer to a reset, which two balancers could exchange for ever.
TEST_F(forwarding_without_targets, doesNotAnswerTheEndOfAnUnknownFlow) {
  caller_packet Packet;
  Packet.Flow = {{1, 1}, {2, 2}};
  Packet.Ends = true;
  EXPECT_EQ(Forwarder.decide(Packet, Now).Action, forward_action::Drop);
}

class forwarding_to_one_target : public forwarding {
protected:
  target &First = add("i-1", 1);
};

// Guards against flows that only the balancer that opened them can forward.
TEST_F(forwarding_to_one_target, findsTheTargetOfAFlowOpenedElsewhere) {
  const forward_decision Decision = send(7, First.Token, 500);
  expectDecision(Decision, forward_action::Forward, forward_reason::Open);
  EXPECT_EQ(Decision.Target, &First);
}

// Guards against packets that are guessed to a target: the caller hasn't heard from any.
TEST_F(forwarding_to_one_target, dropsPacketsOfOpenFlowsWithoutToken) {
  expectDecision(send(7, NoToken, 0), forward_action::Drop, forward_reason::Meaningless);
}

// Guards against resets of flows whose target registered a moment ago at the store, and against
// callers that wait for a target that nobody knows until their time is over.
TEST_F(forwarding_to_one_target, dropsUnknownTokensFirstAndResetsThemLater) {
  const flow_token Unknown = makeFlowToken(77);
  Forwarder.setTargetsCurrent(Now + milliseconds(1));
  expectDecision(send(7, Unknown, 500), forward_action::Drop, forward_reason::UnknownToken);
  Now += milliseconds(600);
  expectDecision(send(7, Unknown, 500), forward_action::Drop, forward_reason::UnknownToken);
  Now += milliseconds(1000);
  expectDecision(send(7, Unknown, 500), forward_action::Reset, forward_reason::UnknownToken);
}

// Guards against a balancer that is cut off from the store and resets flows of targets that started
// meanwhile (soak, seed 1).
TEST_F(forwarding_to_one_target, neverResetsUnknownTokensWhileTheStoreDoesNotAnswer) {
  Forwarder.setTargetsCurrent(Now);
  for (int I = 0; I < 20; ++I) {
    expectDecision(send(7, makeFlowToken(77), 500), forward_action::Drop,
                   forward_reason::UnknownToken);
    Now += milliseconds(400);
  }
}

TEST_F(forwarding_to_one_target, forwardsAnUnknownTokenOnceItsTargetIsKnown) {
  const flow_token Later = makeFlowToken(77);
  send(7, Later, 500);
  Now += milliseconds(200);
  const target &Target = add("i-77", 77);
  EXPECT_EQ(send(7, Later, 500).Target, &Target);
}

class forwarding_with_another_service : public forwarding_to_one_target {
protected:
  forwarding_with_another_service() {
    target_registration Other = registration("i-2", 2);
    Other.Service = "mail";
    Targets.put(Other, Now);
  }
  flow_token OtherToken = makeFlowToken(2);
};

// Guards against packets of one service at a target of another.
TEST_F(forwarding_with_another_service, resetsATokenOfAServiceThatTheRouteNeverNamed) {
  expectDecision(send(7, OtherToken, 500), forward_action::Reset, forward_reason::OtherService);
}

// Guards against broken flows after a change of a route's services: they stay where they are.
TEST_F(forwarding_with_another_service, keepsFlowsOfAServiceThatTheRouteNamedBefore) {
  Routes.apply({2, {{"web", WebAddress, 0, {{"web", 1}, {"mail", 1}}}}, seconds(15)});
  Routes.apply({3, {{"web", WebAddress, 0, {{"web", 1}}}}, seconds(15)});
  expectDecision(send(7, OtherToken, 500), forward_action::Forward, forward_reason::Open);
}

// Guards against resets by a balancer that started after the change (FLOW on Holmgren's trouble-1):
// other balancers opened flows by a version that it never saw.
TEST_F(forwarding_with_another_service, keepsFlowsThatAnUnseenVersionMayHaveOpened) {
  Routes.missedVersions(Now);
  expectDecision(send(7, OtherToken, 500), forward_action::Forward, forward_reason::Open);
  Now += seconds(61);
  expectDecision(send(8, OtherToken, 500), forward_action::Reset, forward_reason::OtherService);
}

class forwarding_to_a_removed_target : public forwarding_to_one_target {
protected:
  forwarding_to_a_removed_target() {
    openAnswered(7);
    openAnswered(8);
    target_registration Draining = registration("i-1", 1);
    Draining.Draining = true;
    Targets.put(Draining, Now);
    Targets.remove("i-1", ++Revision, Now);
    add("i-2", 2);
  }
};

// Guards against resets of flows that their host still serves (FLOW on Riga's quiet-1): a host goes
// on for seconds after its entry is gone.
TEST_F(forwarding_to_a_removed_target, keepsItsFlowsWhileItAnswers) {
  EXPECT_EQ(send(7, First.Token, 500).Action, forward_action::Forward);
  EXPECT_TRUE(sweep().empty());
}

TEST_F(forwarding_to_a_removed_target, placesNoNewFlowsOnIt) {
  for (std::uint16_t Port = 100; Port < 120; ++Port)
    EXPECT_EQ(open(Port).Target->Registration.Name, "i-2");
}

// Guards against callers that wait for a host that has left until their time is over.
TEST_F(forwarding_to_a_removed_target, endsItsFlowsWhenSeveralCallersGetNoAnswer) {
  send(7, First.Token, 500);
  send(8, First.Token, 500);
  Now += milliseconds(200);
  EXPECT_EQ(send(7, First.Token, 500).Action, forward_action::Forward);
  expectDecision(send(8, First.Token, 500), forward_action::Reset, forward_reason::TargetGone);
  EXPECT_EQ(sweep(), std::vector<std::uint16_t>{7});
}

// Guards against times that include the caller's pause between two requests.
TEST_F(forwarding_to_one_target, measuresHandshakesAndAnswers) {
  openAnswered(7);
  EXPECT_EQ(Observer.Opened, std::vector<duration>{milliseconds(4)});
  Now += seconds(3);
  send(7, First.Token, 500, 0, 100);
  Now += milliseconds(30);
  send(7, First.Token, 900, 100, 0);
  Now += seconds(3);
  send(7, First.Token, 900, 100, 100);
  EXPECT_EQ(Observer.Answered, std::vector<duration>{milliseconds(30)});
}

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
  EXPECT_TRUE(Doubted->Health.doubted(Now));
  send(1, Doubted->Token, 700);
  EXPECT_FALSE(Doubted->Health.doubted(Now));
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
  Second.Health.repeated(0, Now);
  Second.Health.repeated(0, Now);
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

// Guards against a tracker that grows without limit, and against flows that depend on it.
TEST(packet_forwarder_limits, forwardsFlowsThatItDoesNotTrack) {
  seeded_random Random(1);
  route_table Routes;
  Routes.apply({1, {{"web", {9, 9}, 0, {{"web", 1}}}}, seconds(15)});
  recording_observer Observer;
  target_registry Targets({});
  target_registration Registration;
  Registration.Name = "i-1";
  Registration.Number = 1;
  Registration.Service = "web";
  Targets.put(Registration, instant{});
  packet_forwarder_settings Settings;
  Settings.MaxFlows = 10;
  packet_forwarder Forwarder(Settings, Routes, Targets, Random, Observer);
  Forwarder.setTargetsKnown();
  for (std::uint16_t Port = 1; Port < 100; ++Port) {
    caller_packet Packet;
    Packet.Flow = {{1, Port}, {9, 9}};
    Packet.Opens = true;
    EXPECT_EQ(Forwarder.decide(Packet, instant{}).Action, forward_action::Forward);
  }
  EXPECT_EQ(Forwarder.trackedFlows(), 10U);
}

} // namespace
} // namespace briarpoint
