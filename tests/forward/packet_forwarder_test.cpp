#include "tests/forward/forward_support.h"

namespace briarpoint {
namespace {

// Guards against decisions before the balancer has routes and targets: a reset would end flows that
// other balancers serve.
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
  // An empty list means that all entries have lapsed, not that there are no targets.
  Forwarder.setTargetsLoaded();
  expectDecision(Forwarder.decide(Packet, instant{}), forward_action::Drop,
                 forward_reason::NotReady);
  target_registration Registration;
  Registration.Name = "i-1";
  Targets.put(Registration, instant{});
  expectDecision(Forwarder.decide(Packet, instant{}), forward_action::Reset,
                 forward_reason::NoRoute);
}

/// Targets are known, but no routes.
class forwarding_without_routes : public testing::Test {
protected:
  forwarding_without_routes() {
    target_registration Registration;
    Registration.Name = "i-1";
    Registration.Number = 1;
    Registration.Service = "web";
    Targets.put(Registration, Now);
    Forwarder.setTargetsLoaded();
  }

  instant Now{seconds(100)};
  seeded_random Random{20261204};
  recording_observer Observer;
  route_table Routes;
  target_registry Targets{target_registry_settings()};
  packet_forwarder Forwarder{{}, Routes, Targets, Random, Observer};
};

// Guards against open flows that wait for the configuration after a loss of power. On the large
// site, reading it took 0.5 s after a start of all instances, and reading the targets 0.2 s.
TEST_F(forwarding_without_routes, forwardsOpenFlowsByTheirTokens) {
  caller_packet Packet;
  Packet.Flow = {{1, 1}, {2, 443}};
  Packet.DataSize = 100;
  Packet.Token = Targets.find("i-1")->Token;
  const forward_decision Decision = Forwarder.decide(Packet, Now);
  expectDecision(Decision, forward_action::Forward, forward_reason::Open);
  EXPECT_EQ(Decision.Target, Targets.find("i-1"));
  // Once the routes are known and current, they apply to flows that were forwarded before.
  Routes.apply({1, {{"mail", {2, 443}, 0, {{"mail", 1}}}}, seconds(15)});
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Forward,
                 forward_reason::RouteUnconfirmed);
  Routes.setCurrentAt(Now + milliseconds(1));
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Reset,
                 forward_reason::OtherService);
  Packet.Flow.Service.Port = 444;
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Reset, forward_reason::NoRoute);
}

// Guards against a reset of a new flow, or one to an arbitrary target, before the routes are known.
TEST_F(forwarding_without_routes, postponesPacketsThatOpenFlows) {
  caller_packet Packet;
  Packet.Flow = {{1, 1}, {2, 443}};
  Packet.Opens = true;
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Postpone, forward_reason::NotReady);
  Routes.apply({1, {{"web", {2, 443}, 0, {{"web", 1}}}}, seconds(15)});
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Forward, forward_reason::Placed);
}

class forwarding_without_targets : public forwarding {
protected:
  forwarding_without_targets() {
    target_registration Other = registration("i-9", 9);
    Other.Service = "mail";
    Targets.put(Other, Now);
  }
};

// Guards against callers that wait although their service has no route or no target.
TEST_F(forwarding_without_targets, resetsFlowsThatCannotBeServedAtOnce) {
  expectDecision(open(1), forward_action::Reset, forward_reason::NoTarget);
  caller_packet Packet;
  Packet.Flow = {{1, 1}, {2, 2}};
  Packet.Opens = true;
  expectDecision(Forwarder.decide(Packet, Now), forward_action::Reset, forward_reason::NoRoute);
}

// Guards against answering a reset by a reset, which two balancers could exchange for ever.
TEST_F(forwarding_without_targets, doesNotAnswerTheEndOfAnUnknownFlow) {
  caller_packet Packet;
  Packet.Flow = {{1, 1}, {2, 2}};
  Packet.Ends = true;
  EXPECT_EQ(Forwarder.decide(Packet, Now).Action, forward_action::Drop);
}

// Guards against flows that only the balancer that opened them can forward.
TEST_F(forwarding_to_one_target, findsTheTargetOfAFlowOpenedElsewhere) {
  const forward_decision Decision = send(7, First.Token, 500);
  expectDecision(Decision, forward_action::Forward, forward_reason::Open);
  EXPECT_EQ(Decision.Target, &First);
}

// Guards against forwarding to an arbitrary target: without a token, the caller has no target.
TEST_F(forwarding_to_one_target, dropsPacketsOfOpenFlowsWithoutToken) {
  expectDecision(send(7, NoToken, 0), forward_action::Drop, forward_reason::Meaningless);
}

// Guards against resets of flows whose target has only just registered, and against callers that
// wait for an unknown target until their request times out.
TEST_F(forwarding_to_one_target, dropsUnknownTokensFirstAndResetsThemLater) {
  const flow_token Unknown = makeFlowToken(77);
  Forwarder.setTargetsCurrentAt(Now + milliseconds(1));
  expectDecision(send(7, Unknown, 500), forward_action::Drop, forward_reason::UnknownToken);
  Now += milliseconds(600);
  expectDecision(send(7, Unknown, 500), forward_action::Drop, forward_reason::UnknownToken);
  Now += milliseconds(1000);
  expectDecision(send(7, Unknown, 500), forward_action::Reset, forward_reason::UnknownToken);
}

// Guards against resets by a balancer without contact to the store: the targets of the flows may
// have started meanwhile (soak, seed 1).
TEST_F(forwarding_to_one_target, neverResetsUnknownTokensWhileTheStoreDoesNotAnswer) {
  Forwarder.setTargetsCurrentAt(Now);
  for (int I = 0; I < 20; ++I) {
    expectDecision(send(7, makeFlowToken(77), 500), forward_action::Drop,
                   forward_reason::UnknownToken);
    Now += milliseconds(400);
  }
}

// Guards against a flow whose packets are still dropped after its target has registered.
TEST_F(forwarding_to_one_target, forwardsAnUnknownTokenOnceItsTargetIsKnown) {
  const flow_token Later = makeFlowToken(77);
  send(7, Later, 500);
  Now += milliseconds(200);
  const target &Target = add("i-77", 77);
  EXPECT_EQ(send(7, Later, 500).Target, &Target);
}

// Guards against repeats of packets that this balancer dropped, which count as the silence of a
// target that never received them, and end its flows (soak, seed 88101).
TEST_F(forwarding_to_one_target, ignoresRepeatsOfPacketsThatItDropped) {
  const flow_token Later = makeFlowToken(77);
  const std::vector<std::uint16_t> Ports{7, 8, 9};
  for (const int Wait : {0, 200}) {
    Now += milliseconds(Wait);
    for (const std::uint16_t Port : Ports)
      EXPECT_EQ(send(Port, Later, 500).Action, forward_action::Drop);
  }
  target &Target = add("i-77", 77);
  Forwarder.setTargetsCurrentAt(Now + seconds(1000));
  Now += milliseconds(400);
  for (const std::uint16_t Port : Ports)
    EXPECT_EQ(send(Port, Later, 500).Action, forward_action::Forward);
  EXPECT_EQ(Target.Health.repeats(), 0U);
  EXPECT_TRUE(sweep().empty());
  // Repeats of what was forwarded count.
  Now += milliseconds(800);
  send(7, Later, 500);
  EXPECT_EQ(Target.Health.repeats(), 1U);
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

// Guards against forwarding packets of one service to a target of another.
TEST_F(forwarding_with_another_service, resetsATokenOfAServiceThatTheRouteNeverNamed) {
  Routes.setCurrentAt(Now + milliseconds(1));
  expectDecision(send(7, OtherToken, 500), forward_action::Reset, forward_reason::OtherService);
}

// Guards against a reset of a flow that another balancer opened after the route got a further
// service, of which this balancer doesn't know yet.
TEST_F(forwarding_with_another_service, keepsFlowsWhileTheRoutesMayBeOutdated) {
  Routes.setCurrentAt(Now);
  expectDecision(send(7, OtherToken, 500), forward_action::Forward,
                 forward_reason::RouteUnconfirmed);
  Routes.apply({2, {{"web", WebAddress, 0, {{"web", 1}, {"mail", 1}}}}, seconds(15)});
  expectDecision(send(7, OtherToken, 500), forward_action::Forward, forward_reason::Open);
}

// Guards against broken flows after a change of a route's services: open flows stay at their
// targets.
TEST_F(forwarding_with_another_service, keepsFlowsOfAServiceThatTheRouteNamedBefore) {
  Routes.apply({2, {{"web", WebAddress, 0, {{"web", 1}, {"mail", 1}}}}, seconds(15)});
  Routes.apply({3, {{"web", WebAddress, 0, {{"web", 1}}}}, seconds(15)});
  expectDecision(send(7, OtherToken, 500), forward_action::Forward, forward_reason::Open);
}

// Guards against resets by a balancer that started after a change of the route: other balancers
// opened flows under a version that it never received (FLOW on Holmgren's trouble-1).
TEST_F(forwarding_with_another_service, keepsFlowsThatAnUnseenVersionMayHaveOpened) {
  Routes.onVersionsMissed(Now);
  expectDecision(send(7, OtherToken, 500), forward_action::Forward, forward_reason::Open);
  Now += seconds(64);
  Routes.setCurrentAt(Now + milliseconds(1));
  expectDecision(send(8, OtherToken, 500), forward_action::Reset, forward_reason::OtherService);
}

/// An open flow whose route isn't in the configuration in force here.
class forwarding_without_the_route : public forwarding_to_one_target {
protected:
  forwarding_without_the_route() { Routes.apply({2, {}, seconds(15)}); }
};

// Guards against resets of flows on a route that was just added: another balancer that has the
// version opened them, and the routers now choose this one (review, case 1).
TEST_F(forwarding_without_the_route, keepsFlowsOfARouteThatIsAddedLater) {
  Routes.setCurrentAt(Now);
  const forward_decision Decision = send(7, First.Token, 500);
  expectDecision(Decision, forward_action::Forward, forward_reason::RouteUnconfirmed);
  EXPECT_EQ(Decision.Target, &First);
  Now += milliseconds(900);
  Routes.apply({3, {{"web", WebAddress, 0, {{"web", 1}}}}, seconds(15)});
  Routes.setCurrentAt(Now);
  expectDecision(send(7, First.Token, 600, 100), forward_action::Forward, forward_reason::Open);
}

// Guards against resets by a balancer that has just started with an old list (review, case 2).
// Nothing is proven of such a list, whatever time has passed.
TEST_F(forwarding_without_the_route, keepsFlowsWhileItsConfigurationWasNeverProvenCurrent) {
  for (std::uint32_t I = 0; I < 20; ++I) {
    expectDecision(send(7, First.Token, 500 + I, 100 * I), forward_action::Forward,
                   forward_reason::RouteUnconfirmed);
    Now += milliseconds(500);
  }
}

// Guards against flows on a removed route that go on although the removal is in force everywhere,
// also if their callers only receive.
TEST_F(forwarding_without_the_route, endsFlowsOnceTheConfigurationIsProvenCurrent) {
  EXPECT_EQ(send(7, First.Token, 500).Action, forward_action::Forward);
  EXPECT_EQ(send(8, First.Token, 500, 0, 0).Action, forward_action::Forward);
  EXPECT_EQ(Forwarder.proofNeededAfter(), Now);
  Routes.setCurrentAt(Now + milliseconds(1));
  Now += milliseconds(200);
  expectDecision(send(7, First.Token, 500), forward_action::Reset, forward_reason::NoRoute);
  expectDecision(send(8, First.Token, 900, 0, 0), forward_action::Reset, forward_reason::NoRoute);
  // The reset may be lost.
  expectDecision(send(7, First.Token, 500), forward_action::Reset, forward_reason::NoRoute);
}

// Guards against resets because of a proof from before the flow: its route may have been added
// after that.
TEST_F(forwarding_without_the_route, needsAProofForEachFlow) {
  send(7, First.Token, 500);
  Routes.setCurrentAt(Now + milliseconds(1));
  Now += seconds(1);
  expectDecision(send(7, First.Token, 600, 100), forward_action::Reset, forward_reason::NoRoute);
  expectDecision(send(8, First.Token, 500), forward_action::Forward,
                 forward_reason::RouteUnconfirmed);
}

// Guards against new flows on a route that may have been removed, and callers that wait for one.
TEST_F(forwarding_without_the_route, refusesNewFlowsAtOnce) {
  expectDecision(open(7), forward_action::Reset, forward_reason::NoRoute);
  EXPECT_EQ(Forwarder.proofNeededAfter(), instant::min());
}

// Guards against a reset of a flow that another balancer has opened on a new route by an earlier
// copy of the packet.
TEST_F(forwarding_without_the_route, refusesCopiesOnlyIfTheRoutesAreCurrent) {
  caller_packet Copy;
  Copy.Flow = flowFrom(7);
  Copy.Opens = true;
  Copy.Acknowledged = 1;
  expectDecision(Forwarder.decide(Copy, Now), forward_action::Drop,
                 forward_reason::RouteUnconfirmed);
  EXPECT_EQ(Forwarder.proofNeededAfter(), Now);
  Routes.setCurrentAt(Now + milliseconds(1));
  expectDecision(Forwarder.decide(Copy, Now), forward_action::Reset, forward_reason::NoRoute);
}

class forwarding_to_a_removed_target : public forwarding_to_one_target {
protected:
  forwarding_to_a_removed_target() {
    openAnswered(7);
    openAnswered(8);
    target_registration Draining = registration("i-1", 1);
    Draining.Draining = true;
    Targets.put(Draining, Now);
    Targets.remove("i-1", {0, ++Revision}, Now);
    add("i-2", 2);
  }
};

// Guards against resets of flows that their target still serves: a target continues for seconds
// after its entry has been removed (FLOW on Riga's quiet-1).
TEST_F(forwarding_to_a_removed_target, keepsItsFlowsWhileItAnswers) {
  EXPECT_EQ(send(7, First.Token, 500).Action, forward_action::Forward);
  EXPECT_TRUE(sweep().empty());
}

// Guards against new flows to a target that has been removed.
TEST_F(forwarding_to_a_removed_target, assignsNoNewFlowsToIt) {
  for (std::uint16_t Port = 100; Port < 120; ++Port)
    EXPECT_EQ(open(Port).Target->Registration.Name, "i-2");
}

// Guards against callers that wait for a target that has left until their request times out.
TEST_F(forwarding_to_a_removed_target, endsItsFlowsWhenSeveralCallersGetNoAnswer) {
  send(7, First.Token, 500);
  send(8, First.Token, 500);
  Now += milliseconds(200);
  EXPECT_EQ(send(7, First.Token, 500).Action, forward_action::Forward);
  expectDecision(send(8, First.Token, 500), forward_action::Reset, forward_reason::TargetGone);
  EXPECT_EQ(sweep(), std::vector<std::uint16_t>{7});
}

// Guards against resets of flows of a target that left the store but serves on, by repeats of a
// short interruption that are seconds old.
TEST_F(forwarding_to_a_removed_target, keepsFlowsLongAfterTheLastRepeat) {
  Forwarder.setTargetsCurrentAt(Now + seconds(1000));
  for (const int Wait : {0, 200}) {
    Now += milliseconds(Wait);
    send(7, First.Token, 500);
    send(8, First.Token, 500);
  }
  sweep();
  Now += seconds(1);
  expectDecision(send(21, First.Token, 500), forward_action::Reset, forward_reason::TargetGone);
  Now += seconds(1);
  EXPECT_TRUE(First.Health.suspected(Now));
  expectDecision(send(22, First.Token, 500), forward_action::Forward, forward_reason::Open);
  EXPECT_TRUE(sweep().empty());
}

/// A target whose entry was removed has started again under its id at another address, which this
/// balancer doesn't know yet. Flows that other balancers opened at it come here.
class forwarding_to_a_target_that_moved : public forwarding_to_a_removed_target {
protected:
  /// Callers whose flows were answered through this balancer under the old entry.
  const std::vector<std::uint16_t> OwnPorts{7, 8};
  const std::vector<std::uint16_t> Ports{21, 22};

  /// Sends data on two flows of other balancers, and repeats it after 200 ms.
  void repeatUnanswered() {
    for (const std::uint16_t Port : Ports)
      send(Port, First.Token, 500);
    Now += milliseconds(200);
    for (const std::uint16_t Port : Ports)
      EXPECT_EQ(send(Port, First.Token, 500).Action, forward_action::Forward) << Port;
  }
};

// Guards against resets of flows that are open at a target because its old entry was removed.
TEST_F(forwarding_to_a_target_that_moved, keepsFlowsOfOtherBalancersUntilItsNewEntryIsKnown) {
  Forwarder.setTargetsCurrentAt(Now);
  const instant SentAt = Now;
  repeatUnanswered();
  EXPECT_EQ(sweep(), OwnPorts);
  EXPECT_EQ(Forwarder.proofNeededAfter(), SentAt);
  target_registration Restarted = registration("i-1", 1);
  Restarted.Address.Address += 1000;
  Restarted.StartedMs = 7;
  Targets.put(Restarted, Now);
  Forwarder.setTargetsCurrentAt(Now);
  EXPECT_EQ(send(21, First.Token, 500).Target->Registration.Address, Restarted.Address);
  EXPECT_TRUE(sweep().empty());
}

// Guards against callers that wait for a target that has left.
TEST_F(forwarding_to_a_target_that_moved, endsTheFlowsOnceItsEntryIsProvenCurrent) {
  repeatUnanswered();
  EXPECT_EQ(sweep(), OwnPorts);
  Forwarder.setTargetsCurrentAt(Now);
  EXPECT_EQ(sweep(), Ports);
}

// Guards against callers that wait until their requests time out while the store is away.
TEST_F(forwarding_to_a_target_that_moved, endsTheFlowsWithoutProofIfTheStoreDoesNotAnswer) {
  repeatUnanswered();
  EXPECT_EQ(sweep(), OwnPorts);
  Now += milliseconds(1300);
  EXPECT_EQ(sweep(), Ports);
}

/// A target has left, and another one has the same token. A balancer that started after that has
/// opened flows at the other one.
class forwarding_with_a_token_of_two_targets : public forwarding {
protected:
  forwarding_with_a_token_of_two_targets() {
    target_registration Draining = registration("i-early", Numbers.first);
    Draining.Draining = true;
    Targets.put(Draining, Now);
    add("i-late", Numbers.second);
    Targets.remove("i-early", {0, ++Revision}, Now);
    Now += milliseconds(1);
    send(7, Token, 500);
    Forwarder.setTargetsCurrentAt(Now + milliseconds(1));
    for (const int Wait : {200, 400}) {
      Now += milliseconds(Wait);
      Last = send(7, Token, 500);
    }
  }

  const std::pair<std::uint64_t, std::uint64_t> Numbers = collidingNumbers();
  const flow_token Token = makeFlowToken(Numbers.first);
  forward_decision Last;
};

// Guards against a reset of a flow at a live target because the token's former owner has left
// (review, case 4).
TEST_F(forwarding_with_a_token_of_two_targets, triesTheOtherOneBeforeItEndsAFlow) {
  expectDecision(Last, forward_action::Forward, forward_reason::Open);
  EXPECT_EQ(Last.Target->Registration.Name, "i-late");
  EXPECT_TRUE(sweep().empty());
  // Later than any suspicion of the former owner.
  for (int I = 0; I < 8; ++I) {
    Now += milliseconds(500);
    EXPECT_TRUE(sweep().empty());
  }
  EXPECT_EQ(send(7, Token, 600, 100).Target->Registration.Name, "i-late");
  EXPECT_EQ(open(9).Target, Targets.find("i-late"));
}

// Guards against a reset of open flows by the other target with their token, after an outage of the
// store in which the entries lapsed and were written again in another order (review, case 10).
TEST_F(forwarding, keepsFlowsAtTheOwnerOfATokenWhenEntriesAreWrittenAgain) {
  const auto Numbers = collidingNumbers();
  const flow_token Token = makeFlowToken(Numbers.first);
  target_registration Early = registration("i-b-early", Numbers.first);
  target_registration Late = registration("i-a-late", Numbers.second);
  Early.StartedMs = 1000;
  Late.StartedMs = 2000;
  Targets.put(Early, Now);
  Targets.put(Late, Now);
  openAnswered(7);
  Targets.replaceAll({}, {0, ++Revision}, Now);
  Now += milliseconds(400);
  for (target_registration *Entry : {&Late, &Early}) {
    Entry->Revision = ++Revision;
    Targets.put(*Entry, Now);
    for (const std::uint16_t Port : {std::uint16_t{7}, std::uint16_t{8}})
      EXPECT_EQ(send(Port, Token, 500).Target->Registration.Name, "i-b-early");
    Now += milliseconds(400);
  }
}

// Guards against latencies that include the caller's pause between two requests.
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

// Guards against a tracker that grows without limit, and against flows that need to be tracked.
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
  Forwarder.setTargetsLoaded();
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
