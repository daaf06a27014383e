#include "forward/dead_target_exchange.h"
#include "forward/target_state_tracker.h"
#include "tests/forward/forward_support.h"

#include <map>
#include <string>

namespace briarpoint {
namespace {

using type = target_state_message::type;

constexpr target_process Web1{1, 0};
constexpr target_process Web2{2, 0};

endpoint instance(int Number) {
  return *parseEndpoint("10.0.0." + std::to_string(Number) + ":7720");
}

// Guards against messages of another program or version that are taken for valid ones, and against
// reading beyond their end.
TEST(target_state_messages, areParsedOnlyIfTheyAreComplete) {
  for (const target_state_message &Message :
       {target_state_message{type::Unanswered, {{Web1, 1}, {{~0ULL, 5}, 2}}},
        target_state_message{type::Answered, {{Web1, 300}, {Web2, 0xffff}}},
        target_state_message{type::Dead, {{Web1, 0}, {Web2, 1500}}},
        target_state_message{type::Failures, {{Web1, 3}, {Web2, 1}}},
        target_state_message{type::Failing, {{Web1, 0}, {Web2, 0}}}}) {
    const std::string Bytes = writeTargetStateMessage(Message);
    EXPECT_EQ(parseTargetStateMessage(Bytes), Message);
    const std::size_t EntrySize = (Bytes.size() - 4) / 2;
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
      const bool Whole = Size == 4 + EntrySize || (Size == 4 && Message.Type == type::Unanswered);
      EXPECT_EQ(parseTargetStateMessage(std::string_view(Bytes).substr(0, Size)).has_value(), Whole)
          << Size;
    }
  }
  const target_state_message Contact{type::Unanswered, {}};
  EXPECT_EQ(parseTargetStateMessage(writeTargetStateMessage(Contact)), Contact);
}

// Guards against messages that don't fit into a datagram, and against foreign ones.
TEST(target_state_messages, areLimitedAndRecognised) {
  target_state_message Longest{type::Failures, {}};
  Longest.Entries.assign(MaxTargetStates, {Web1, 1});
  EXPECT_EQ(writeTargetStateMessage(Longest).size(), MaxTargetStateMessageSize);
  EXPECT_EQ(parseTargetStateMessage(writeTargetStateMessage(Longest)), Longest);
  Longest.Entries.push_back({Web1, 1});
  EXPECT_FALSE(parseTargetStateMessage(writeTargetStateMessage(Longest)));
  std::string Foreign = writeTargetStateMessage({type::Dead, {{Web1, 0}}});
  for (const int Type : {0, 1, 2, 3, 4, 7, 8, 9, 13}) {
    Foreign[3] = static_cast<char>(Type);
    EXPECT_FALSE(parseTargetStateMessage(Foreign)) << Type;
  }
  Foreign[3] = static_cast<char>(type::Dead);
  Foreign[2] = 2;
  EXPECT_FALSE(parseTargetStateMessage(Foreign));
}

/// A pool whose notices reach all balancers.
class pooling_observations : public testing::Test {
protected:
  /// Sweeps of 250 ms for \p Time, in each of which \p Observers report the target.
  void report(std::initializer_list<std::uint64_t> Observers, duration Time) {
    for (const instant End = Now + Time; Now < End; Now += milliseconds(250)) {
      for (const std::uint64_t Observer : Observers)
        Pool.onUnanswered(Web1, Flows, Observer, Now);
      decide();
    }
  }
  void decide() {
    for (const target_process &Target : Pool.dueNotices(Now)) {
      Pool.onNoticeSent(Target, Now);
      ++Notices;
    }
    if (!Pool.findDead(Now).empty()) {
      FoundAt = Now;
      ++Findings;
    }
  }

  dead_target_pool Pool;
  /// Flows of each observer without an answer.
  std::size_t Flows = 1;
  instant Now{seconds(100)};
  int Notices = 0;
  int Findings = 0;
  instant FoundAt{};
};

// Guards against callers of a dead target that wait longer than a dispute takes.
TEST_F(pooling_observations, findATargetDeadHalfASecondAfterTheDisputeBegan) {
  const instant Start = Now;
  report({1, 2, 3, 4, 5, 6}, seconds(1));
  EXPECT_EQ(Findings, 1);
  EXPECT_EQ(FoundAt, Start + dead_target_pool::DisputeTime);
}

// Guards against small networks that find no dead target soon: a few balancers have many flows
// each.
TEST_F(pooling_observations, countFlowsOfFewObservers) {
  const instant Start = Now;
  Flows = 3;
  report({1, 2}, seconds(1));
  EXPECT_EQ(Findings, 1);
  EXPECT_EQ(FoundAt, Start + dead_target_pool::DisputeTime);
}

// Guards against one observer that outweighs the others.
TEST_F(pooling_observations, limitTheWeightOfAnObserver) {
  for (; Findings == 0 && Now < instant(seconds(101)); Now += milliseconds(250)) {
    Pool.onUnanswered(Web1, 100, 1, Now);
    Pool.onUnanswered(Web1, 1, 2, Now);
    decide();
  }
  EXPECT_EQ(Findings, 0);
}

// Guards against a target with few flows that is found dead because two balancers have lossy links.
TEST_F(pooling_observations, takeLongerIfTheyAreFew) {
  const instant Start = Now;
  report({1, 2}, seconds(3));
  EXPECT_EQ(Findings, 1);
  EXPECT_EQ(FoundAt, Start + dead_target_pool::LongDisputeTime);
}

// Guards against one balancer with a bad link that convinces all others, however often it reports.
TEST_F(pooling_observations, needTwoObservers) {
  report({1}, seconds(10));
  EXPECT_EQ(Notices, 0);
  EXPECT_EQ(Findings, 0);
}

// Guards against a living target that is found dead because few of its answers are late.
TEST_F(pooling_observations, giveWayToAnAnswerOfTheLastSecond) {
  report({1, 2, 3, 4, 5, 6}, milliseconds(250));
  for (int I = 0; I < 20; ++I) {
    Pool.onAnswered(Web1, Now - milliseconds(100), Now);
    report({1, 2, 3, 4, 5, 6}, milliseconds(750));
  }
  EXPECT_EQ(Findings, 0);
  report({1, 2, 3, 4, 5, 6}, milliseconds(500));
  EXPECT_EQ(Findings, 1);
}

// Guards against observers that saw an answer in between, and so stopped reporting for a while.
TEST_F(pooling_observations, needReportsWithoutInterruption) {
  for (int I = 0; I < 10; ++I) {
    report({1, 2, 3, 4, 5, 6}, milliseconds(500));
    Now += milliseconds(500);
    decide();
  }
  EXPECT_EQ(Findings, 0);
}

// Guards against lost reports that delay the end of a dead target's flows without end.
TEST_F(pooling_observations, bearALostReport) {
  report({1, 2, 3, 4, 5, 6}, milliseconds(250));
  report({1, 2}, milliseconds(250));
  report({1, 2, 3, 4, 5, 6}, milliseconds(500));
  EXPECT_EQ(Findings, 1);
}

// Guards against a target found dead although the balancers weren't asked for answers: the reader
// had no bytes left for notices.
TEST_F(pooling_observations, needANotice) {
  for (int I = 0; I < 10; ++I) {
    for (std::uint64_t Observer = 1; Observer <= 6; ++Observer)
      Pool.onUnanswered(Web1, Flows, Observer, Now);
    EXPECT_FALSE(Pool.dueNotices(Now).empty());
    EXPECT_TRUE(Pool.findDead(Now).empty());
    Now += milliseconds(250);
  }
}

// Guards against a reader that was paused during a dispute and didn't read the answers.
TEST_F(pooling_observations, startAnewAfterAPause) {
  report({1, 2, 3, 4, 5, 6}, milliseconds(250));
  Now += milliseconds(300);
  Pool.restartDisputes();
  report({1, 2, 3, 4, 5, 6}, milliseconds(500));
  EXPECT_EQ(Findings, 0);
  report({1, 2, 3, 4, 5, 6}, milliseconds(250));
  EXPECT_EQ(Findings, 1);
}

// Guards against announcements without end, and against a flapping target that costs callers each
// time: the announcement doubles if the target is soon found dead again.
TEST_F(pooling_observations, announceAFlappingTargetForLonger) {
  const auto AnnouncedFor = [&] {
    const instant Start = Now;
    while (!Pool.dueAnnouncements(Now + seconds(1), Now).empty())
      Now += milliseconds(250);
    return Now - Start;
  };
  for (const int Seconds : {6, 12, 24, 30, 30}) {
    Findings = 0;
    while (Findings == 0)
      report({1, 2, 3, 4, 5, 6}, milliseconds(250));
    Now = FoundAt;
    EXPECT_EQ(AnnouncedFor(), seconds(Seconds));
  }
  Now += seconds(31);
  Findings = 0;
  while (Findings == 0)
    report({1, 2, 3, 4, 5, 6}, milliseconds(250));
  Now = FoundAt;
  EXPECT_EQ(AnnouncedFor(), seconds(6));
}

// Guards against a dead target that is announced on although someone has seen an answer.
TEST_F(pooling_observations, endAnAnnouncementWithAnAnswer) {
  report({1, 2, 3, 4, 5, 6}, milliseconds(750));
  EXPECT_FALSE(Pool.dueAnnouncements(Now, Now).empty());
  Pool.onAnswered(Web1, Now, Now);
  EXPECT_TRUE(Pool.dueAnnouncements(Now, Now).empty());
}

// Guards against unbounded memory if forwarders report targets that don't exist, and against
// reports that are kept for ever.
TEST_F(pooling_observations, areLimitedAndForgotten) {
  for (std::uint64_t Number = 0; Number < dead_target_pool::MaxTargets + 10; ++Number)
    for (std::uint64_t Observer = 0; Observer < 2; ++Observer)
      Pool.onUnanswered({Number, 0}, 1, Observer, Now);
  EXPECT_EQ(Pool.dueNotices(Now).size(), dead_target_pool::MaxTargets);
  Now += dead_target_pool::ReportWindow;
  EXPECT_TRUE(Pool.dueNotices(Now).empty());
  Pool.onUnanswered({dead_target_pool::MaxTargets + 1, 0}, 1, 1, Now);
  Pool.onUnanswered({dead_target_pool::MaxTargets + 1, 0}, 1, 2, Now);
  EXPECT_EQ(Pool.dueNotices(Now).size(), 1U);
}

/// A balancer that receives findings of the reader 20, with eight targets in its data centre.
class balancer_with_findings : public forwarding {
protected:
  struct recording_sender final : suspicion_sender, target_state_sender {
    void send(const endpoint &To, const suspicion_message &Message) override {
      Notices[To].push_back(Message);
    }
    void send(const endpoint &To, const target_state_message &Message) override {
      Sent[To].push_back(Message);
    }
    std::map<endpoint, std::vector<suspicion_message>> Notices;
    std::map<endpoint, std::vector<target_state_message>> Sent;
  };

  balancer_with_findings() {
    for (std::uint64_t I = 1; I <= 8; ++I)
      add("i-" + std::to_string(I), I);
    Forwarder.setTargetsCurrentAt(Now + seconds(1000));
  }
  target &targetAt(std::uint64_t Number) { return *Targets.find("i-" + std::to_string(Number)); }
  void receive(type Type, std::initializer_list<std::uint64_t> Numbers, bool FromReader = true,
               std::uint16_t AgeMs = 0) {
    target_state_message Message{Type, {}};
    for (const std::uint64_t Number : Numbers)
      Message.Entries.push_back({{Number, targetAt(Number).Registration.StartedMs}, AgeMs});
    Exchange.receive(Reader, FromReader, Message, Now);
  }
  /// Opens flows until one is at \p Target, and returns its port.
  std::uint16_t openAt(const target &Target) {
    std::uint16_t Port = NextPort;
    while (openAnswered(Port) != &Target)
      ++Port;
    NextPort = Port + 1;
    Now += seconds(1);
    return Port;
  }
  /// Returns the messages of \p Type to the reader.
  std::vector<target_state_message> sent(type Type) {
    std::vector<target_state_message> Result;
    for (const target_state_message &Message : Sender.Sent[Reader])
      if (Message.Type == Type)
        Result.push_back(Message);
    return Result;
  }

  const endpoint Reader = instance(20);
  std::uint16_t NextPort = 100;
  recording_sender Sender;
  suspicion_exchange Suspicions{instance(9), Targets, Sender};
  dead_target_exchange Exchange{instance(9), seconds(4), Targets, Suspicions, Sender};
};

// Guards against an idle flow whose caller sends only later, a request that it may not repeat, and
// then waits until its time runs out.
TEST_F(balancer_with_findings, resetsIdleFlowsOfADeadTarget) {
  const std::uint16_t Port = openAt(targetAt(1));
  EXPECT_TRUE(sweep().empty());
  receive(type::Dead, {1});
  EXPECT_TRUE(Exchange.consumeFoundFlag());
  EXPECT_EQ(sweep(), std::vector<std::uint16_t>{Port});
  EXPECT_EQ(SweepReason, forward_reason::TargetDead);
}

// Guards against a flow of a dead target that another balancer opened.
TEST_F(balancer_with_findings, resetsUntrackedFlowsAtTheirFirstPacket) {
  receive(type::Dead, {1});
  expectDecision(send(7, targetAt(1).Token, 500), forward_action::Reset,
                 forward_reason::TargetDead);
  expectDecision(send(8, targetAt(2).Token, 500), forward_action::Forward, forward_reason::Open);
}

// Guards against resets by a finding that is older than the flow's silence: the target was cut off
// for a moment, can be reached again, and is announced on because nobody tries it (review, case
// 12).
TEST_F(balancer_with_findings, keepsFlowsOfATargetThatWasFoundDeadLongAgo) {
  for (const int AgeMs : {0, 1000, 1999, 2000, 3000, 65535}) {
    SCOPED_TRACE(AgeMs);
    receive(type::Dead, {1}, true, static_cast<std::uint16_t>(AgeMs));
    EXPECT_TRUE(targetAt(1).foundDead(Now));
    const bool Ends = AgeMs < 2000;
    EXPECT_EQ(Exchange.consumeFoundFlag(), AgeMs == 0);
    expectDecision(send(7, targetAt(1).Token, 500),
                   Ends ? forward_action::Reset : forward_action::Forward,
                   Ends ? forward_reason::TargetDead : forward_reason::Open);
    EXPECT_TRUE(sweep().empty());
  }
  // A balancer that started later, or was paused, gets only the repeats of the announcement.
  receive(type::Dead, {2}, true, 3000);
  send(8, targetAt(2).Token, 500);
  Now += milliseconds(250);
  EXPECT_FALSE(Exchange.consumeFoundFlag());
  EXPECT_TRUE(sweep().empty());
}

// Guards against a finding that holds on at a balancer that gets no further message, because it is
// cut off alone, or when the target's entry is written again in a new era of the store.
TEST_F(balancer_with_findings, keepsFlowsOnceTheLastFindingIsOld) {
  receive(type::Dead, {1});
  Now += milliseconds(1999);
  EXPECT_TRUE(targetAt(1).foundDeadRecently(Now));
  target_registration Again = targetAt(1).Registration;
  ++Again.Era;
  Targets.put(Again, Now);
  EXPECT_TRUE(targetAt(1).foundDeadRecently(Now));
  Now += milliseconds(1);
  EXPECT_TRUE(targetAt(1).foundDead(Now));
  expectDecision(send(7, targetAt(1).Token, 500), forward_action::Forward, forward_reason::Open);
  EXPECT_TRUE(sweep().empty());
}

// Guards against findings that end flows later than the platform's contact time allows.
TEST_F(balancer_with_findings, keepsFlowsLongerIfTheContactTimeIsShort) {
  dead_target_exchange Short{instance(9), milliseconds(2500), Targets, Suspicions, Sender};
  Short.receive(Reader, true, {type::Dead, {{Web1, 499}}}, Now);
  EXPECT_EQ(send(7, targetAt(1).Token, 500).Action, forward_action::Reset);
  Short.receive(Reader, true, {type::Dead, {{Web2, 500}}}, Now);
  EXPECT_EQ(send(8, targetAt(2).Token, 500).Action, forward_action::Forward);
}

// Guards against resets of a restarted target's flows at a balancer that doesn't know its new entry
// yet.
TEST_F(balancer_with_findings, needsProofOfTheEntryForUntrackedFlows) {
  Forwarder.setTargetsCurrentAt(Now - milliseconds(1));
  receive(type::Dead, {1});
  expectDecision(send(7, targetAt(1).Token, 500), forward_action::Forward, forward_reason::Open);
  EXPECT_EQ(Forwarder.proofNeededAfter(), Now);
  target_registration Restarted = targetAt(1).Registration;
  Restarted.StartedMs = 5;
  Restarted.Revision = ++Revision;
  Targets.put(Restarted, Now);
  Forwarder.setTargetsCurrentAt(Now + milliseconds(100));
  Now += milliseconds(200);
  expectDecision(send(7, targetAt(1).Token, 500), forward_action::Forward, forward_reason::Open);
  EXPECT_TRUE(sweep().empty());
}

// Guards against new flows, and repeats of opening packets, that go to a dead target.
TEST_F(balancer_with_findings, opensNoFlowAtADeadTargetWhileOthersAcceptFlows) {
  std::uint16_t Port = 100;
  while (open(Port).Target != &targetAt(1)) {
    ++Port;
    Now += milliseconds(1);
  }
  receive(type::Dead, {1});
  Now += milliseconds(20);
  EXPECT_NE(open(Port, 1).Target, &targetAt(1));
  for (std::uint64_t I = 2; I <= 8; ++I)
    targetAt(I).Health.onFlowAssigned(Now - milliseconds(500));
  for (std::uint16_t Other = 500; Other < 540; ++Other)
    EXPECT_NE(open(Other).Target, &targetAt(1));
  for (std::uint64_t I = 2; I <= 8; ++I) {
    target_registration Draining = targetAt(I).Registration;
    Draining.Draining = true;
    Draining.Revision = ++Revision;
    Targets.put(Draining, Now);
  }
  EXPECT_EQ(open(600).Target, &targetAt(1));
}

// Guards against a partition, which makes most targets of a data centre look dead.
TEST_F(balancer_with_findings, resetsNoFlowIfMostTargetsOfADataCentreSeemDead) {
  openAt(targetAt(1));
  receive(type::Dead, {1, 2, 3, 4, 5});
  EXPECT_TRUE(sweep().empty());
  expectDecision(send(7, targetAt(2).Token, 500), forward_action::Forward, forward_reason::Open);
  Now += dead_target_exchange::AnnouncementLifetime;
  receive(type::Dead, {1, 2, 3, 4});
  expectDecision(send(8, targetAt(2).Token, 500), forward_action::Reset,
                 forward_reason::TargetDead);
  EXPECT_FALSE(sweep().empty());
}

// Guards against resets by a message that any host can send.
TEST_F(balancer_with_findings, believesOnlyReaders) {
  receive(type::Dead, {1}, false);
  receive(type::Failing, {2}, false);
  EXPECT_FALSE(targetAt(1).foundDead(Now));
  EXPECT_FALSE(targetAt(2).failing(Now));
}

// Guards against resets at a target that answers this balancer's callers, and against a reader that
// never learns of the answers because one message was lost.
TEST_F(balancer_with_findings, contradictsAFindingAfterAnAnswer) {
  openAt(targetAt(1));
  targetAt(1).AnsweredAt = Now - milliseconds(400);
  receive(type::Dead, {1});
  EXPECT_FALSE(targetAt(1).foundDead(Now));
  ASSERT_EQ(sent(type::Answered).size(), 1U);
  EXPECT_EQ(sent(type::Answered)[0].Entries[0], (target_state_message::entry{Web1, 400}));
  targetAt(1).AnsweredAt = Now + milliseconds(1);
  Now += seconds(1);
  receive(type::Dead, {1});
  EXPECT_FALSE(targetAt(1).foundDead(Now)) << "it answered since it was first found dead";
  EXPECT_EQ(sent(type::Answered).size(), 2U);
}

// Guards against a state that outlasts the fault.
TEST_F(balancer_with_findings, endsWithAnAnswerOrARestartOrTheTime) {
  receive(type::Dead, {1, 2, 3});
  EXPECT_TRUE(targetAt(3).foundDead(Now));
  EXPECT_FALSE(targetAt(3).foundDead(Now + dead_target_exchange::AnnouncementLifetime));
  target_registration Restarted = targetAt(2).Registration;
  Restarted.StartedMs = 5;
  Restarted.Revision = ++Revision;
  Targets.put(Restarted, Now);
  EXPECT_FALSE(targetAt(2).foundDead(Now));
  // A flow that was being opened when the target was found dead.
  for (std::uint64_t I = 2; I <= 8; ++I)
    Targets.remove("i-" + std::to_string(I), {0, ++Revision}, Now);
  Now += seconds(2);
  const forward_decision Opened = open(700);
  ASSERT_EQ(Opened.Target, &targetAt(1));
  Now += milliseconds(4);
  send(700, targetAt(1).Token, 500, 0, 0);
  EXPECT_FALSE(targetAt(1).foundDead(Now));
  Exchange.confirmAnswers(Now);
  EXPECT_EQ(sent(type::Answered).size(), 1U);
}

// Guards against a finding about an earlier process that harms the flows of the next one.
TEST_F(balancer_with_findings, ignoresFindingsAboutAnotherProcess) {
  Exchange.receive(Reader, true, {type::Dead, {{{1, 77}, 0}, {{99, 0}, 0}}}, Now);
  EXPECT_FALSE(targetAt(1).foundDead(Now));
}

// Guards against a finding that waited while this balancer was paused and is outdated by then.
TEST_F(balancer_with_findings, ignoresFindingsAfterAPause) {
  Exchange.sweep(&Reader, false, Now);
  Now += seconds(2);
  receive(type::Dead, {1});
  EXPECT_FALSE(targetAt(1).foundDead(Now));
  // Messages that waited may be read after the first sweep, too.
  Exchange.sweep(&Reader, false, Now);
  receive(type::Dead, {1});
  EXPECT_FALSE(targetAt(1).foundDead(Now));
  Now += dead_target_exchange::StalePeriod;
  receive(type::Dead, {1});
  EXPECT_TRUE(targetAt(1).foundDead(Now));
}

// Guards against a reader that doesn't hear of answers in time: they are confirmed at once, those
// of the last 500 ms as well as those during the dispute, but not with every packet.
TEST_F(balancer_with_findings, confirmsAnswersOfADisputedTarget) {
  openAt(targetAt(1));
  Exchange.onNotice(Reader, {1, 99}, Now);
  EXPECT_TRUE(sent(type::Answered).empty());
  for (int I = 0; I < 10; ++I) {
    Now += milliseconds(20);
    targetAt(1).AnsweredAt = Now;
    Exchange.confirmAnswers(Now);
  }
  EXPECT_EQ(sent(type::Answered).size(), 1U);
  EXPECT_EQ(sent(type::Answered)[0].Entries[0].Value, 0U);
  Now += milliseconds(250);
  Exchange.confirmAnswers(Now);
  EXPECT_EQ(sent(type::Answered).size(), 2U);
  Now += seconds(2);
  targetAt(1).AnsweredAt = Now;
  Exchange.confirmAnswers(Now);
  EXPECT_EQ(sent(type::Answered).size(), 2U) << "the dispute is over";
}

// Guards against messages while nothing fails, against reports about targets of other data centres
// and about repeats that were answered soon.
TEST_F(balancer_with_findings, reportsOnlyUnansweredRepeatsOfItsOwnDataCentre) {
  target_registration Remote = registration("i-remote", 50);
  Remote.DataCentre = "b";
  Targets.put(Remote, Now);
  openAt(targetAt(1));
  const auto Sweep = [&] {
    Now += milliseconds(250);
    Exchange.sweep(&Reader, false, Now);
  };
  Sweep();
  targetAt(1).Health.onRepeat(0, Now);
  targetAt(1).Health.onAnswer();
  targetAt(2).Health.onRepeat(0, Now + milliseconds(240));
  Targets.find("i-remote")->Health.onRepeat(0, Now);
  Sweep();
  EXPECT_TRUE(Sender.Sent.empty());
  Sweep();
  ASSERT_EQ(sent(type::Unanswered).size(), 1U);
  EXPECT_EQ(sent(type::Unanswered)[0].Entries, (std::vector{target_state_message::entry{Web2, 1}}));
  for (int I = 0; I < 10; ++I)
    Sweep();
  EXPECT_EQ(sent(type::Unanswered).size(), 3U) << "a repeat is evidence for a second";
}

// Guards against seeds that find nothing because they take part in no exchange.
TEST_F(balancer_with_findings, contactsTheFirstReaderIfItIsAReaderItself) {
  for (int I = 0; I < 44; ++I) {
    Exchange.sweep(&Reader, true, Now);
    Now += milliseconds(250);
  }
  EXPECT_EQ(sent(type::Unanswered), std::vector(3, target_state_message{type::Unanswered, {}}));
}

/// The same balancer is the reader of the balancers 1 to 3.
class reader_of_three : public balancer_with_findings {
protected:
  void sweepFor(duration Time, std::initializer_list<int> Observers, std::uint64_t Number) {
    for (const instant End = Now + Time; Now < End; Now += milliseconds(250)) {
      for (int I = 1; I <= 3; ++I)
        Suspicions.onContact(instance(I), Now);
      if (std::size(Observers) > 0)
        targetAt(Number).Health.onRepeat(0, Now - milliseconds(100));
      for (const int Observer : Observers)
        Exchange.receive(instance(Observer), false, {type::Unanswered, {{{Number, 0}, 0}}}, Now);
      Exchange.sweep(nullptr, true, Now);
    }
  }
};

// Guards against a dead target that only its observers know.
TEST_F(reader_of_three, announcesADeadTargetToAllEachSecond) {
  sweepFor(milliseconds(750), {1, 2, 3, 4, 5}, 1);
  EXPECT_TRUE(targetAt(1).foundDead(Now));
  for (int I = 1; I <= 3; ++I) {
    EXPECT_EQ(Sender.Notices[instance(I)].size(), 1U);
    EXPECT_EQ(Sender.Sent[instance(I)],
              (std::vector{target_state_message{type::Dead, {{Web1, 0}}}}));
  }
  sweepFor(milliseconds(2000), {}, 1);
  // Each announcement states how long ago the target was found dead.
  ASSERT_EQ(Sender.Sent[instance(3)].size(), 3U);
  EXPECT_EQ(Sender.Sent[instance(3)][2].Entries[0].Value, 2000U);
  sweepFor(seconds(8), {}, 1);
  EXPECT_EQ(Sender.Sent[instance(3)].size(), 6U);
  EXPECT_FALSE(targetAt(1).foundDead(Now));
}

// Guards against a finding that the reader's own callers contradict.
TEST_F(reader_of_three, countsItsOwnAnswers) {
  openAt(targetAt(1));
  for (int I = 0; I < 12; ++I) {
    targetAt(1).AnsweredAt = Now;
    sweepFor(milliseconds(250), {1, 2}, 1);
  }
  EXPECT_FALSE(targetAt(1).foundDead(Now));
  EXPECT_TRUE(Sender.Sent.empty());
}

// Guards against control traffic without limit while an overload lasts: notices wait, and without
// notices nothing is found dead.
TEST(send_budgets, limitTheMeanRateAfterABurst) {
  send_budget Budget;
  const instant Start{seconds(100)};
  instant Now = Start;
  std::size_t Sent = 0;
  for (; Now < Start + seconds(600); Now += milliseconds(100))
    if (Budget.available(Now)) {
      Budget.spend(10'000, Now);
      Sent += 10'000;
    }
  EXPECT_GT(static_cast<double>(Sent), send_budget::BurstBytes + 590 * send_budget::BytesPerSecond);
  EXPECT_LT(static_cast<double>(Sent), send_budget::BurstBytes + 610 * send_budget::BytesPerSecond);
}

// Guards against a log without the begin and end of the states, or with a line for each sweep.
TEST_F(balancer_with_findings, areTrackedForTheLog) {
  target_state_tracker Tracker;
  receive(type::Dead, {1});
  receive(type::Failing, {2});
  const target_state_changes Began = Tracker.update(Targets, Now);
  EXPECT_EQ(Began.DeadBegan, std::vector<const target *>{&targetAt(1)});
  EXPECT_EQ(Began.FailingBegan, std::vector<const target *>{&targetAt(2)});
  EXPECT_TRUE(Tracker.update(Targets, Now).DeadBegan.empty());
  Now += dead_target_exchange::AnnouncementLifetime;
  const target_state_changes Ended = Tracker.update(Targets, Now);
  EXPECT_EQ(Ended.DeadEnded, std::vector<std::string>{"i-1"});
  EXPECT_EQ(Ended.FailingEnded, std::vector<std::string>{"i-2"});
}

// Guards against a target that hangs on some requests and keeps its share of new flows, because it
// answers the others.
TEST_F(balancer_with_findings, reportsRequestsThatHangWhileOthersAreAnswered) {
  const std::uint16_t Hanging = openAt(targetAt(1));
  const std::uint16_t Answered = openAt(targetAt(1));
  const flow_token Token = targetAt(1).Token;
  const auto Ask = [&](duration Delay) {
    Now += Delay;
    send(Hanging, Token, 500);
  };
  Ask(seconds(0));
  Ask(milliseconds(200));
  EXPECT_EQ(targetAt(1).Failures, 0U);
  send(Answered, Token, 500);
  Now += milliseconds(50);
  send(Answered, Token, 900, 100, 0);
  Ask(milliseconds(350));
  EXPECT_EQ(targetAt(1).Failures, 1U);
  Ask(milliseconds(800));
  EXPECT_EQ(targetAt(1).Failures, 1U) << "one failure for each request";
  Exchange.sweep(&Reader, false, Now);
  ASSERT_EQ(sent(type::Failures).size(), 1U);
  EXPECT_EQ(sent(type::Failures)[0].Entries[0], (target_state_message::entry{Web1, 1}));
  Now += seconds(1);
  Exchange.sweep(&Reader, false, Now);
  EXPECT_EQ(sent(type::Failures).size(), 1U);
}

// Guards against a target that refuses some requests at once, and gets more flows for it; and
// against failures seen in a service whose requests are always that fast.
TEST_F(balancer_with_findings, reportsAnswersThatAreTooSoon) {
  for (const int MeanMs : {60, 20}) {
    for (int I = 0; I < 20; ++I)
      targetAt(2).ResponseTime.add(milliseconds(MeanMs), Now);
    targetAt(1).Failures = 0;
    Exchange.sweep(&Reader, false, Now);
    const std::uint16_t Port = openAt(targetAt(1));
    for (const int Ms : {2, 30}) {
      send(Port, targetAt(1).Token, 500 + Ms, 100 * Ms);
      Now += milliseconds(Ms);
      send(Port, targetAt(1).Token, 501 + Ms, 100 * Ms + 100, 0);
    }
    EXPECT_EQ(targetAt(1).Failures, MeanMs == 60 ? 1U : 0U) << MeanMs;
    for (int I = 0; I < 3000; ++I)
      targetAt(2).ResponseTime.add(milliseconds(20), Now);
    Now += seconds(1);
  }
}

// Guards against findings in an overload, when all targets have failures, and against those of one
// balancer only.
TEST_F(balancer_with_findings, takesATargetForFailingOnlyIfItFailsMoreThanOthers) {
  failing_target_pool Pool;
  Pool.report(Web1, 8, 1, Now);
  EXPECT_TRUE(Pool.failing(Targets, Now).empty()) << "one observer";
  Pool.report(Web1, 1, 2, Now);
  EXPECT_EQ(Pool.failing(Targets, Now), std::vector{Web1});
  for (std::uint64_t Number = 2; Number <= 8; ++Number)
    for (std::uint64_t Observer = 1; Observer <= 2; ++Observer)
      Pool.report({Number, 0}, 2, Observer, Now);
  EXPECT_TRUE(Pool.failing(Targets, Now).empty()) << "all fail";
  EXPECT_TRUE(Pool.failing(Targets, Now + failing_target_pool::Window).empty());
}

// Guards against a failing target that keeps its share of new flows, and against one that gets none
// or loses its open flows.
TEST_F(balancer_with_findings, givesAFailingTargetAQuarterOfTheLoad) {
  const std::uint16_t Port = openAt(targetAt(1));
  receive(type::Failing, {1});
  std::map<const target *, int> Opened;
  for (std::uint16_t Other = 1000; Other < 1400; ++Other) {
    ++Opened[openAnswered(Other)];
    receive(type::Failing, {1});
  }
  EXPECT_NEAR(Opened[&targetAt(1)], Opened[&targetAt(2)] / 4.0, 4);
  expectDecision(send(Port, targetAt(1).Token, 500), forward_action::Forward, forward_reason::Open);
  EXPECT_TRUE(sweep().empty());
}

} // namespace
} // namespace briarpoint
