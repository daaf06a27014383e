#include "forward/suspicion_exchange.h"
#include "forward/suspicion_tracker.h"
#include "tests/forward/forward_support.h"

#include <map>
#include <set>
#include <string>

namespace briarpoint {
namespace {

endpoint instance(int Number) {
  return *parseEndpoint("10.0.0." + std::to_string(Number) + ":7720");
}

// Guards against one forwarder with a bad link that convinces all others.
TEST(suspicion_pools, needTwoObservers) {
  suspicion_pool Pool;
  const instant Now{seconds(100)};
  for (int I = 0; I < 5; ++I)
    Pool.report(7, 1, Now + milliseconds(I));
  EXPECT_TRUE(Pool.suspected(Now + milliseconds(10)).empty());
  Pool.report(7, 2, Now + milliseconds(10));
  Pool.report(8, 2, Now + milliseconds(10));
  EXPECT_EQ(Pool.suspected(Now + milliseconds(10)), std::vector<std::uint64_t>{7});
}

// Guards against a target that stays out of use although nobody has reported it for seconds.
TEST(suspicion_pools, forgetReports) {
  suspicion_pool Pool;
  const instant Now{seconds(100)};
  Pool.report(7, 1, Now);
  Pool.report(7, 2, Now + seconds(1));
  EXPECT_EQ(Pool.suspected(Now + seconds(1)).size(), 1U);
  EXPECT_TRUE(Pool.suspected(Now + suspicion_pool::ReportLifetime).empty());
}

// Guards against unbounded memory if a forwarder reports targets that don't exist.
TEST(suspicion_pools, areLimited) {
  suspicion_pool Pool;
  const instant Now{seconds(100)};
  for (std::uint64_t Target = 0; Target < suspicion_pool::MaxTargets + 10; ++Target)
    for (std::uint64_t Observer = 0; Observer < 2; ++Observer)
      Pool.report(Target, Observer, Now);
  EXPECT_EQ(Pool.suspected(Now).size(), suspicion_pool::MaxTargets);
}

// Guards against messages of another program or version that are taken for valid ones, and against
// reading beyond their end.
TEST(suspicion_messages, areParsedOnlyIfTheyAreComplete) {
  const suspicion_message Message{suspicion_message::type::Notice, {1, 0xffffffffffffffff}};
  const std::string Bytes = writeSuspicionMessage(Message);
  EXPECT_EQ(parseSuspicionMessage(Bytes), Message);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    if (Size != Bytes.size() - 8) {
      EXPECT_FALSE(parseSuspicionMessage(std::string_view(Bytes).substr(0, Size))) << Size;
    }
  }
  const suspicion_message Longest{suspicion_message::type::Report,
                                  std::vector<std::uint64_t>(MaxSuspectedTargets, 5)};
  EXPECT_EQ(parseSuspicionMessage(writeSuspicionMessage(Longest)), Longest);
  EXPECT_FALSE(parseSuspicionMessage(writeSuspicionMessage(Longest) + "12345678"));
  std::string Foreign = Bytes;
  Foreign[3] = 1;
  EXPECT_FALSE(parseSuspicionMessage(Foreign));
  Foreign = Bytes;
  Foreign[0] = 'X';
  EXPECT_FALSE(parseSuspicionMessage(Foreign));
}

/// Keeps the messages that were sent, by receiver.
class recording_sender final : public suspicion_sender {
public:
  void send(const endpoint &To, const suspicion_message &Message) override {
    Sent[To].push_back(Message);
  }
  std::map<endpoint, std::vector<suspicion_message>> Sent;
};

/// A reader that three forwarders have contacted, and that knows the targets i-1 and i-2.
class sharing_suspicions : public forwarding {
protected:
  sharing_suspicions() {
    for (int I = 1; I <= 3; ++I)
      Exchange.onContact(instance(I), Now);
  }
  void report(int From, std::vector<std::uint64_t> Targets) {
    Exchange.receive(instance(From), false, {suspicion_message::type::Report, std::move(Targets)},
                     Now);
  }
  void receiveNotice(bool FromReader, std::vector<std::uint64_t> Targets) {
    Exchange.receive(instance(9), FromReader, {suspicion_message::type::Notice, std::move(Targets)},
                     Now);
  }

  target &First = add("i-1", 1);
  target &Second = add("i-2", 2);
  recording_sender Sender;
  suspicion_exchange Exchange{instance(9), Targets, Sender};
};

// Guards against forwarders that each have to find a failed target by themselves.
TEST_F(sharing_suspicions, notifiesAllForwardersThatAskedOnceTwoReportATarget) {
  report(1, {1});
  Exchange.notify(Now);
  EXPECT_TRUE(Sender.Sent.empty());
  report(2, {1});
  Exchange.notify(Now);
  for (int I = 1; I <= 3; ++I) {
    ASSERT_EQ(Sender.Sent[instance(I)].size(), 1U) << I;
    EXPECT_EQ(Sender.Sent[instance(I)][0],
              (suspicion_message{suspicion_message::type::Notice, {1}}));
  }
  EXPECT_TRUE(First.reported(Now));
  EXPECT_FALSE(Second.reported(Now));
}

// Guards against a message to each forwarder with every sweep, and to those that have ended.
TEST_F(sharing_suspicions, repeatsNoticesOnlyAtTheIntervalAndToRecentContacts) {
  report(1, {1});
  report(2, {1});
  Exchange.notify(Now);
  Now += milliseconds(250);
  Exchange.notify(Now);
  EXPECT_EQ(Sender.Sent[instance(3)].size(), 1U);
  Now += suspicion_exchange::NoticeInterval;
  Exchange.notify(Now);
  EXPECT_EQ(Sender.Sent[instance(3)].size(), 2U);
  Now += suspicion_exchange::ContactLifetime;
  report(1, {1});
  report(2, {1});
  Exchange.notify(Now);
  EXPECT_EQ(Sender.Sent[instance(3)].size(), 2U);
  EXPECT_EQ(Sender.Sent[instance(1)].size(), 3U);
}

// Guards against notices that any host can send.
TEST_F(sharing_suspicions, ignoresNoticesOfOthersThanReaders) {
  receiveNotice(false, {1});
  EXPECT_FALSE(First.reported(Now));
  receiveNotice(true, {1, 99});
  EXPECT_TRUE(First.reported(Now));
  EXPECT_FALSE(First.reported(Now + suspicion_exchange::NoticeLifetime));
}

// Guards against avoiding a target that answers this forwarder's callers, for example if only
// others are cut off from it, and against a notice that concerns a target's earlier process.
TEST_F(sharing_suspicions, giveWayToOwnAnswersAndRestarts) {
  receiveNotice(true, {1, 2});
  openAnswered(7)->Health.onAnswer();
  EXPECT_NE(First.reported(Now), Second.reported(Now));
  receiveNotice(true, {1, 2});
  EXPECT_NE(First.reported(Now), Second.reported(Now));
  target &Avoided = First.reported(Now) ? First : Second;
  target_registration Restarted = Avoided.Registration;
  Restarted.StartedMs = 5;
  Restarted.Revision = ++Revision;
  Targets.put(Restarted, Now);
  EXPECT_FALSE(Avoided.reported(Now));
}

// Guards against reports that are sent to nobody, or that don't fit into a datagram.
TEST_F(sharing_suspicions, reportsToTheReaderInSeveralMessagesIfNecessary) {
  const endpoint Reader = instance(20);
  Exchange.report(std::vector<std::uint64_t>(MaxSuspectedTargets + 1, 5), &Reader, Now);
  ASSERT_EQ(Sender.Sent[Reader].size(), 2U);
  EXPECT_EQ(Sender.Sent[Reader][1].Targets.size(), 1U);
  // A reader reports to itself.
  Exchange.report({1}, nullptr, Now);
  report(1, {1});
  Exchange.notify(Now);
  EXPECT_TRUE(First.reported(Now));
}

// Guards against new flows to a target that others have found to be silent, and against a caller
// that waits for its second repeat there.
TEST_F(sharing_suspicions, keepNewFlowsAndRepeatsAwayFromReportedTargets) {
  std::uint16_t Port = 100;
  while (open(Port).Target != &First)
    ++Port;
  receiveNotice(true, {1});
  // Without the notice, nothing speaks against the target.
  First.Health.onAnswer();
  Second.Health.onAnswer();
  Now += milliseconds(200);
  EXPECT_EQ(open(Port, 1).Target, &Second);
  for (std::uint16_t Other = 500; Other < 520; ++Other) {
    EXPECT_EQ(open(Other).Target, &Second);
    Second.Health.onAnswer();
  }
}

// Guards against notices that take most of a service out of use, when many are wrong.
TEST_F(sharing_suspicions, areIgnoredIfTheyNameMostTargets) {
  add("i-3", 3);
  receiveNotice(true, {1, 2});
  std::set<const target *> Used;
  for (std::uint16_t Port = 100; Port < 160; ++Port) {
    target *Target = open(Port).Target;
    Target->Health.onAnswer();
    Used.insert(Target);
  }
  EXPECT_EQ(Used.size(), 3U);
}

// Guards against avoiding a target because of another one whose number gives the same token.
TEST_F(sharing_suspicions, concernOnlyTheTargetWithTheNumber) {
  const auto [Known, Unknown] = collidingNumbers();
  const target &Target = add("i-known", Known);
  receiveNotice(true, {Unknown});
  EXPECT_FALSE(Target.reported(Now));
  receiveNotice(true, {Known});
  EXPECT_TRUE(Target.reported(Now));
}

// Guards against a report for each sweep while a target stays suspected, and against log lines that
// don't show the end of a suspicion.
TEST_F(sharing_suspicions, areReportedOnceWhenTheyBegin) {
  suspicion_tracker Tracker;
  EXPECT_TRUE(Tracker.update(Targets, Now).Began.empty());
  First.Health.onRepeat(0, Now);
  First.Health.onRepeat(0, Now);
  EXPECT_EQ(Tracker.update(Targets, Now).Began, std::vector<const target *>{&First});
  EXPECT_TRUE(Tracker.update(Targets, Now).Began.empty());
  First.Health.onAnswer();
  EXPECT_EQ(Tracker.update(Targets, Now).Ended, std::vector<std::string>{"i-1"});
}

} // namespace
} // namespace briarpoint
