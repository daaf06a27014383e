#include "base/seeded_random.h"
#include "simulated_store.h"
#include "store/revision_exchange.h"
#include "store/store_revision_reader.h"
#include "watcher_support.h"

#include <gtest/gtest.h>

#include <limits>
#include <memory>
#include <set>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration MinCallInterval = milliseconds(400);
constexpr duration AnswerTimeout = milliseconds(600);
constexpr duration OneWay = milliseconds(2);

endpoint instance(std::uint32_t Number) {
  return *parseEndpoint("10.0.0." + std::to_string(Number) + ":7720");
}

class simulated_node;

/// Delivers messages between forwarders.
class simulated_network {
public:
  explicit simulated_network(simulated_clock &Clock) : Clock(Clock) {}
  void join(simulated_node &Node);
  void send(const endpoint &From, const endpoint &To, const revision_message &Message);

  simulated_clock &Clock;
  std::map<endpoint, simulated_node *> Nodes;
  /// Messages from these forwarders are lost.
  std::set<endpoint> Silenced;
  /// The last message sent, whether it was delivered or not.
  revision_message LastSent;
  /// Number of copies that are delivered of each message.
  int Copies = 1;
};

/// A forwarder with its own connection to the store. While it is paused, messages wait in its
/// socket.
class simulated_node final : public revision_sender, public revision_exchange_listener {
public:
  simulated_node(simulated_network &Network, simulated_store &Store, const endpoint &Local,
                 const std::vector<endpoint> &Readers, random_source &Random)
      : Network(Network), Local(Local),
        Connection(Network.Clock, Store, simulated_connection::CallTimeout),
        ReaderScheduler(Network.Clock), ExchangeScheduler(Network.Clock),
        Own("config", MinCallInterval, Connection, Era, ReaderScheduler),
        Exchange({Local, "north", Readers, AnswerTimeout}, Own, Era, *this, *this,
                 ExchangeScheduler, Random) {
    Network.join(*this);
  }

  void send(const endpoint &To, const revision_message &Message) override {
    Network.send(Local, To, Message);
  }
  void onQuestionEnded(const endpoint &, revision_answer_outcome Outcome, std::uint64_t,
                       duration) override {
    Outcomes.push_back(Outcome);
  }
  void onQuestionReceived(bool Accepted) override { ++(Accepted ? AcceptedCount : DroppedCount); }

  void deliver(const endpoint &From, const revision_message &Message) {
    if (Paused)
      Queue.emplace_back(From, Message);
    else
      Exchange.receive(From, Message);
  }
  void resume() {
    Paused = false;
    for (const auto &[From, Message] : std::exchange(Queue, {}))
      Exchange.receive(From, Message);
  }
  /// Starts a read. Result is empty until it ends.
  void read() {
    Result.reset();
    Exchange.read([this](std::optional<store_position> Position) {
      Result = Position ? std::optional(Position->Revision) : std::nullopt;
      ResultEra = Position ? Position->Era : 0;
    });
  }

  simulated_network &Network;
  endpoint Local;
  simulated_connection Connection;
  simulated_scheduler ReaderScheduler;
  simulated_scheduler ExchangeScheduler;
  store_era Era;
  store_revision_reader Own;
  revision_exchange Exchange;
  std::vector<std::pair<endpoint, revision_message>> Queue;
  std::vector<revision_answer_outcome> Outcomes;
  std::optional<std::optional<std::uint64_t>> Result;
  std::uint64_t ResultEra = 0;
  int AcceptedCount = 0;
  int DroppedCount = 0;
  bool Paused = false;
};

void simulated_network::join(simulated_node &Node) { Nodes[Node.Local] = &Node; }

void simulated_network::send(const endpoint &From, const endpoint &To,
                             const revision_message &Message) {
  LastSent = Message;
  if (Silenced.contains(From))
    return;
  for (int I = 0; I < Copies; ++I)
    Clock.after(OneWay * (I + 1), [this, From, To, Message] {
      if (const auto Found = Nodes.find(To); Found != Nodes.end())
        Found->second->deliver(From, Message);
    });
}

/// Two readers and twenty other forwarders.
class asking_a_reader : public testing::Test {
protected:
  static constexpr std::uint32_t NodeCount = 22;

  asking_a_reader() {
    Store.write("config");
    for (std::uint32_t I = 1; I <= NodeCount; ++I)
      Nodes.push_back(std::make_unique<simulated_node>(
          Network, Store, instance(I), std::vector<endpoint>{instance(1), instance(2)}, Random));
    // Which reader the others ask depends on the hash.
    asker().read();
    advance(seconds(1));
    if (Nodes[1]->AcceptedCount > 0)
      std::swap(Nodes[0], Nodes[1]);
    Calls = totalCalls();
  }
  simulated_node &preferredReader() { return *Nodes[0]; }
  simulated_node &otherReader() { return *Nodes[1]; }
  simulated_node &asker() { return *Nodes[2]; }
  void advance(duration Time) { Clock.runUntil(Clock.now() + Time); }
  std::uint64_t totalCalls() const {
    std::uint64_t Sum = 0;
    for (const auto &Node : Nodes)
      Sum += Node->Own.calls();
    return Sum;
  }
  std::uint64_t callsSinceStart() const { return totalCalls() - Calls; }
  /// Expects that the last read of \p Node has ended with the store's revision.
  void expectCurrent(const simulated_node &Node) {
    ASSERT_TRUE(Node.Result);
    EXPECT_EQ(*Node.Result, Store.lastChange("config"));
  }

  simulated_clock Clock;
  simulated_store Store{Clock};
  simulated_network Network{Clock};
  seeded_random Random{20261204};
  std::vector<std::unique_ptr<simulated_node>> Nodes;
  std::uint64_t Calls = 0;
};

// Guards against calls to the store in proportion to the number of forwarders.
TEST_F(asking_a_reader, sharesOneCallBetweenQuestionsThatWait) {
  for (int Round = 0; Round < 10; ++Round) {
    Store.write("config");
    for (std::size_t I = 2; I < Nodes.size(); ++I)
      Nodes[I]->read();
    advance(seconds(1));
    for (std::size_t I = 2; I < Nodes.size(); ++I)
      expectCurrent(*Nodes[I]);
  }
  EXPECT_LE(callsSinceStart(), 20U);
  EXPECT_EQ(otherReader().AcceptedCount, 0);
}

// Guards against an answer that is older than the question: the reader's call in progress began
// before the question was received.
TEST_F(asking_a_reader, isNotAnsweredFromACallThatBeganBeforeTheQuestion) {
  for (duration Offset{}; Offset < milliseconds(60); Offset += milliseconds(1)) {
    advance(seconds(2));
    Nodes[3]->read();
    advance(Offset);
    Store.write("config");
    asker().read();
    advance(seconds(1));
    expectCurrent(asker());
  }
}

// Guards against a reader whose death delays others for longer than a second, or costs a timeout
// for each further question.
TEST_F(asking_a_reader, isReplacedWithinASecondByTheOtherReader) {
  Network.Silenced.insert(preferredReader().Local);
  Store.write("config");
  asker().read();
  advance(seconds(1));
  expectCurrent(asker());
  EXPECT_EQ(asker().Outcomes.back(), revision_answer_outcome::Unanswered);
  asker().read();
  advance(AnswerTimeout);
  expectCurrent(asker());
  EXPECT_EQ(otherReader().AcceptedCount, 1);
}

// Guards against forwarders that never ask a reader again after one failure.
TEST_F(asking_a_reader, isTriedAgainAfterTheAvoidanceTime) {
  Network.Silenced.insert(preferredReader().Local);
  asker().read();
  advance(revision_exchange_settings().AvoidanceTime + seconds(1));
  Network.Silenced.clear();
  asker().read();
  advance(seconds(1));
  EXPECT_EQ(asker().Outcomes.back(), revision_answer_outcome::Answered);
  EXPECT_EQ(otherReader().AcceptedCount, 0);
}

// Guards against waiting for a reader that the store refuses.
TEST_F(asking_a_reader, isToldAtOnceThatTheReaderCannotRead) {
  preferredReader().Connection.setCut(true);
  Store.write("config");
  asker().read();
  advance(simulated_connection::ConnectTimeout + seconds(1));
  expectCurrent(asker());
}

// Guards against outdated state in a forwarder that acts on an answer from before its own pause. On
// resuming, its event loop may handle the socket before the timer that is overdue, too.
TEST_F(asking_a_reader, ignoresAnAnswerThatWaitedWhileItsProcessWasPaused) {
  fake_scheduler PausedScheduler;
  fake_revision_reader Own;
  store_era Era;
  revision_exchange Exchange({instance(99), "north", {instance(1)}, AnswerTimeout}, Own, Era,
                             asker(), asker(), PausedScheduler, Random);
  std::optional<store_position> Result;
  Exchange.read([&](std::optional<store_position> Position) { Result = Position; });
  const std::uint64_t Number = Network.LastSent.Number;
  PausedScheduler.Now += seconds(3);
  Exchange.receive(instance(1), {revision_message::type::Answer, Number, 5});
  EXPECT_FALSE(Result);
  ASSERT_EQ(Own.Reads.size(), 1U);
  Own.answer(6);
  EXPECT_EQ(Result, (store_position{0, 6}));
  PausedScheduler.runNext();
  EXPECT_TRUE(Own.Reads.empty());
}

// Guards against an answer of a reader that was paused with the question in its socket: the call
// that it sends afterwards answers a question that has ended meanwhile.
TEST_F(asking_a_reader, ignoresTheLateAnswerOfAReaderThatWasPaused) {
  preferredReader().Paused = true;
  asker().read();
  advance(seconds(3));
  expectCurrent(asker());
  preferredReader().resume();
  Store.write("config");
  asker().read();
  advance(seconds(1));
  expectCurrent(asker());
}

// Guards against two results of one read if the network duplicates messages.
TEST_F(asking_a_reader, toleratesDuplicates) {
  Network.Copies = 3;
  for (int I = 0; I < 5; ++I) {
    Store.write("config");
    asker().read();
    advance(seconds(1));
    expectCurrent(asker());
  }
}

// Guards against a forged or misdirected answer: neither the number nor the sender may differ.
TEST_F(asking_a_reader, acceptsOnlyTheAnswerOfTheReaderToItsQuestion) {
  Network.Silenced.insert(preferredReader().Local);
  asker().read();
  const std::uint64_t Number = Network.LastSent.Number;
  asker().Exchange.receive(preferredReader().Local,
                           {revision_message::type::Answer, Number + 1, 999});
  asker().Exchange.receive(instance(9), {revision_message::type::Answer, Number, 999});
  EXPECT_FALSE(asker().Result);
  advance(seconds(1));
  expectCurrent(asker());
}

// Guards against one wrong answer, far above the store's revision, after which no view counts as
// current again: the next answer shows that one of them is wrong, and the store decides.
TEST_F(asking_a_reader, isNotTrustedIfItsRevisionsGoBack) {
  Network.Silenced.insert(preferredReader().Local);
  asker().read();
  asker().Exchange.receive(preferredReader().Local, {revision_message::type::Answer,
                                                     Network.LastSent.Number, ~std::uint64_t{0}});
  EXPECT_EQ(*asker().Result, ~std::uint64_t{0});
  Network.Silenced.clear();
  for (const revision_answer_outcome Outcome :
       {revision_answer_outcome::WentBack, revision_answer_outcome::Answered}) {
    Store.write("config");
    asker().read();
    advance(seconds(1));
    expectCurrent(asker());
    EXPECT_EQ(toString(asker().Outcomes.back()), toString(Outcome));
  }
}

// Guards against forwarders that ask nobody after all readers were replaced.
TEST_F(asking_a_reader, readsTheStoreItselfIfAllReadersAreOutdated) {
  asker().Exchange.setReaders({instance(201), instance(202)});
  for (int I = 0; I < 3; ++I) {
    Store.write("config");
    asker().read();
    advance(seconds(1));
    expectCurrent(asker());
  }
  EXPECT_EQ(callsSinceStart(), 3U);
}

// Guards against unbounded memory in a reader that receives questions faster than the store
// answers.
TEST_F(asking_a_reader, dropsQuestionsBeyondTheLimit) {
  Store.setSilent(true);
  const std::size_t Limit = revision_exchange_settings().MaxQuestions;
  for (std::size_t I = 0; I < Limit + 5; ++I)
    preferredReader().Exchange.receive(instance(50), {revision_message::type::Question, I, 0});
  EXPECT_EQ(preferredReader().DroppedCount, 5);
}

// Guards against readers that take part in no exchange of observations: they ask nobody for the
// revision, but know the other readers, and report to the first one of their region.
TEST_F(asking_a_reader, tellsReadersWhichOneOfThemPoolsObservations) {
  EXPECT_EQ(preferredReader().Exchange.poolingReader(), nullptr);
  ASSERT_NE(otherReader().Exchange.poolingReader(), nullptr);
  EXPECT_EQ(*otherReader().Exchange.poolingReader(), preferredReader().Local);
  ASSERT_NE(asker().Exchange.poolingReader(), nullptr);
  EXPECT_EQ(*asker().Exchange.poolingReader(), preferredReader().Local);
  EXPECT_EQ(otherReader().Exchange.reader(), nullptr);
  EXPECT_TRUE(otherReader().Exchange.isReader(preferredReader().Local));
  EXPECT_TRUE(otherReader().Exchange.isLocalReader());
  EXPECT_FALSE(asker().Exchange.isLocalReader());
}

// Guards against messages of another program or version that are taken for valid ones, and against
// reading beyond their end.
TEST(revision_messages, areParsedOnlyIfTheyAreComplete) {
  const revision_message Question{revision_message::type::Question, 0x1122334455667788, 0};
  const revision_message Answer{revision_message::type::Answer, 7,
                                std::numeric_limits<std::uint64_t>::max()};
  for (const revision_message &Message : {Question, Answer}) {
    const std::string Bytes = writeRevisionMessage(Message);
    EXPECT_EQ(Bytes.size(), RevisionMessageSize);
    EXPECT_EQ(parseRevisionMessage(Bytes), Message);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      EXPECT_FALSE(parseRevisionMessage(std::string_view(Bytes).substr(0, Size))) << Size;
    EXPECT_FALSE(parseRevisionMessage(Bytes + "x"));
  }
  std::string Foreign = writeRevisionMessage(Question);
  Foreign[3] = 3;
  EXPECT_FALSE(parseRevisionMessage(Foreign));
  Foreign = writeRevisionMessage(Question);
  Foreign[2] = 2;
  EXPECT_FALSE(parseRevisionMessage(Foreign));
  Foreign = writeRevisionMessage(Question);
  Foreign.back() = 1;
  EXPECT_FALSE(parseRevisionMessage(Foreign));
}

// Guards against messages of a higher era that lose the era, and against a second form of the same
// message.
TEST(revision_messages, haveTheEraOnlyIfItIsNotZero) {
  const revision_message Answer{revision_message::type::Answer, 7, 9, 3};
  const std::string Bytes = writeRevisionMessage(Answer);
  EXPECT_EQ(Bytes.size(), RevisionMessageSizeWithEra);
  EXPECT_EQ(parseRevisionMessage(Bytes), Answer);
  for (std::size_t Size = RevisionMessageSize + 1; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(parseRevisionMessage(std::string_view(Bytes).substr(0, Size))) << Size;
  EXPECT_FALSE(parseRevisionMessage(Bytes + "x"));
  const std::string Zero(sizeof(std::uint64_t), '\0');
  EXPECT_FALSE(parseRevisionMessage(Bytes.substr(0, RevisionMessageSize) + Zero));
  const revision_message Question{revision_message::type::Question, 7, 0, 3};
  EXPECT_FALSE(parseRevisionMessage(writeRevisionMessage(Question)));
}

// Guards against a time since the rise that is lost, or taken from a message of another length.
TEST(revision_messages, haveTheTimeSinceARecentRise) {
  const revision_message Answer{revision_message::type::Answer, 7, 9, 3, 1500};
  const std::string Bytes = writeRevisionMessage(Answer);
  EXPECT_EQ(Bytes.size(), RevisionMessageSizeWithRise);
  EXPECT_EQ(parseRevisionMessage(Bytes), Answer);
  for (std::size_t Size = RevisionMessageSizeWithEra + 1; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(parseRevisionMessage(std::string_view(Bytes).substr(0, Size))) << Size;
  EXPECT_FALSE(parseRevisionMessage(Bytes + "x"));
}

/// The store has come back from a copy since the last answer of the reader.
class asking_a_reader_after_a_return : public asking_a_reader {
protected:
  asking_a_reader_after_a_return() {
    advance(seconds(1));
    const instant CopiedAt = Clock.now();
    advance(seconds(1));
    Store.write("config");
    asker().read();
    advance(seconds(1));
    Store.comeBackFromCopy(CopiedAt);
  }
};

// Guards against forwarders that ask a reader again and again whose revisions went back with the
// store, and against a forwarder that learns of the rise only by its own watches.
TEST_F(asking_a_reader_after_a_return, confirmsTheRiseByTheStoreOnce) {
  asker().read();
  advance(seconds(1));
  expectCurrent(asker());
  EXPECT_EQ(asker().ResultEra, 1U);
  EXPECT_EQ(asker().Era.current(), 1U);
  EXPECT_EQ(toString(asker().Outcomes.back()), toString(revision_answer_outcome::NewEra));
  asker().read();
  advance(seconds(1));
  expectCurrent(asker());
  EXPECT_EQ(toString(asker().Outcomes.back()), toString(revision_answer_outcome::Answered));
}

// Guards against a forged era, after which all answers of the store would count as outdated.
TEST_F(asking_a_reader, isNotTrustedWithAHigherEra) {
  Network.Silenced.insert(preferredReader().Local);
  asker().read();
  asker().Exchange.receive(preferredReader().Local,
                           {revision_message::type::Answer, Network.LastSent.Number, 9, 99});
  advance(seconds(1));
  expectCurrent(asker());
  EXPECT_EQ(asker().Era.current(), 0U);
}

/// The readers saw the rise a second ago, and then another forwarder has started and listed the
/// copy.
class starting_after_a_return : public asking_a_reader_after_a_return {
protected:
  starting_after_a_return() {
    for (const auto &Reader : {&preferredReader(), &otherReader()})
      Reader->read();
    advance(milliseconds(100));
    for (const auto &Reader : {&preferredReader(), &otherReader()})
      Reader->Era.observe(1);
    RoseAt = Clock.now();
    advance(seconds(1));
  }
  /// Starts a forwarder at the endpoint of \p Number.
  simulated_node &start(std::uint32_t Number) {
    Nodes.push_back(std::make_unique<simulated_node>(
        Network, Store, instance(Number), std::vector<endpoint>{instance(1), instance(2)}, Random));
    Nodes.back()->Era.observe(1);
    Nodes.back()->Era.join(Recorder);
    return *Nodes.back();
  }
  struct rise_times final : era_listener {
    void onEraRose(std::uint64_t, std::uint64_t) override {}
    void onRemoteRise(instant At) override { RoseAt.push_back(At); }
    std::vector<instant> RoseAt;
  };
  rise_times Recorder;
  instant RoseAt{};
};

// Guards against a forwarder that takes the copy for current, although it lacks what the operator
// is still to write again (review, case 9).
TEST_F(starting_after_a_return, receivesTheRiseWithTheFirstAnswer) {
  simulated_node &Started = start(50);
  Started.read();
  advance(seconds(1));
  ASSERT_EQ(Recorder.RoseAt.size(), 1U);
  EXPECT_LE(std::chrono::abs(Recorder.RoseAt.front() - RoseAt), milliseconds(500));
  Started.read();
  advance(seconds(1));
  EXPECT_EQ(Recorder.RoseAt.size(), 1U);
}

// Guards against the same of a forwarder that is a reader itself, which asks no other one later.
TEST_F(starting_after_a_return, receivesTheRiseFromTheOtherReaderIfItIsOneItself) {
  simulated_node &Started = start(1);
  Started.read();
  advance(seconds(1));
  EXPECT_EQ(Recorder.RoseAt.size(), 1U);
  const std::size_t Questions = Started.Outcomes.size();
  Started.read();
  advance(seconds(1));
  EXPECT_EQ(Started.Outcomes.size(), Questions);
}

// Guards against a recovery time long after the rise.
TEST_F(starting_after_a_return, receivesNoRiseThatIsLongAgo) {
  advance(seconds(10));
  start(50).read();
  advance(seconds(1));
  EXPECT_TRUE(Recorder.RoseAt.empty());
}

// Guards against an answer of a reader that hasn't seen the rise.
TEST_F(asking_a_reader_after_a_return, ignoresAnAnswerOfTheEraBefore) {
  asker().Era.observe(1);
  Network.Silenced.insert(preferredReader().Local);
  asker().read();
  asker().Exchange.receive(preferredReader().Local,
                           {revision_message::type::Answer, Network.LastSent.Number, 999, 0});
  advance(seconds(1));
  expectCurrent(asker());
  EXPECT_EQ(toString(asker().Outcomes.back()), toString(revision_answer_outcome::WentBack));
}

} // namespace
} // namespace briarpoint
