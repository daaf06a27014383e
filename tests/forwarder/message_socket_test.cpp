#include "base/seeded_random.h"
#include "forwarder/message_socket.h"
#include "forwarder/revision_exchange_log.h"
#include "io/socket_address.h"
#include "io/sockets.h"
#include "tests/forwarder/socket_support.h"

#include <sys/socket.h>

#include <array>

namespace briarpoint {
namespace {

class set_scheduler final : public scheduler {
public:
  instant now() override { return instant(std::chrono::seconds(100)); }
  void runAt(instant, std::function<void()>) override {}
};

/// Answers each read at once with revision 7.
class known_revision final : public revision_reader {
public:
  void read(callback Done) override { Done(store_position{0, 7}); }
};

/// Returns an endpoint that was free a moment ago: a message socket needs a port of its own.
endpoint freePort() { return localEndpoint(openUdpSocket(anyPort()).get()); }

/// A forwarder's message socket, and a socket of another forwarder.
class a_message_socket : public socket_test {
protected:
  void sendBytes(const std::string &Bytes) {
    const socket_address To = toSocketAddress(localEndpoint(Socket.descriptor()));
    ASSERT_EQ(sendto(Peer.get(), Bytes.data(), Bytes.size(), 0, To.get(), To.Size),
              static_cast<ssize_t>(Bytes.size()));
    Socket.receive({Revisions, Suspicions, DeadTargets, Loads}, Clock.now());
  }
  /// Returns the next datagram that the other forwarder has received; empty if there is none.
  std::string received() const {
    std::array<char, 2048> Buffer{};
    const ssize_t Size = recv(Peer.get(), Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    return {Buffer.data(), Size > 0 ? static_cast<std::size_t>(Size) : 0};
  }

  file_descriptor Peer = openUdpSocket(anyPort());
  set_scheduler Scheduler;
  seeded_random Random{1};
  forwarder_counters Counters;
  message_socket Socket{freePort(), Log, Counters};
  revision_exchange_log ExchangeLog{Log, Counters};
  known_revision Own;
  store_era Era;
  revision_exchange Revisions{{}, Own, Era, Socket, ExchangeLog, Scheduler, Random};
  target_registry Targets{target_registry_settings()};
  suspicion_exchange Suspicions{anyPort(), Targets, Socket};
  load_meter Meter;
  pooled_load Pooled{Targets, Meter, 0};
  load_exchange Loads{anyPort(), Targets, Meter, Pooled, Socket, Random};
  dead_target_exchange DeadTargets{anyPort(), std::chrono::seconds(4), Targets, Suspicions, Socket};
};

// Guards against questions that are lost between the socket and the exchange.
TEST_F(a_message_socket, answersAQuestion) {
  sendBytes(writeRevisionMessage({revision_message::type::Question, 5, 0}));
  EXPECT_EQ(parseRevisionMessage(received()),
            (revision_message{revision_message::type::Answer, 5, 7}));
  EXPECT_EQ(Counters.AcceptedQuestions, 1U);
}

// Guards against a malformed datagram that ends the process, or that keeps later ones from being
// handled.
TEST_F(a_message_socket, countsAndDropsMalformedMessages) {
  const std::string Question = writeRevisionMessage({revision_message::type::Question, 5, 0});
  std::uint64_t Sent = 0;
  for (const std::string &Bytes :
       {std::string(), std::string("x"), std::string(2000, 'B'), Question.substr(1),
        std::string(RevisionMessageSize, '\0'), Question + Question}) {
    sendBytes(Bytes);
    EXPECT_EQ(Counters.MalformedPeerMessages, ++Sent);
  }
  sendBytes(Question);
  EXPECT_FALSE(received().empty());
}

// Guards against reports that don't reach the pool, and against forwarders that aren't notified
// although they have asked for the revision.
TEST_F(a_message_socket, notifiesAForwarderThatAsked) {
  sendBytes(writeRevisionMessage({revision_message::type::Question, 5, 0}));
  received();
  sendBytes(writeSuspicionMessage({suspicion_message::type::Report, {3}}));
  Suspicions.report({3}, nullptr, Clock.now());
  Suspicions.notify(Clock.now());
  EXPECT_EQ(parseSuspicionMessage(received()),
            (suspicion_message{suspicion_message::type::Notice, {3}}));
}

// Guards against load messages that are lost between the socket and the exchange, and against a
// buffer that is too short for the longest one.
TEST_F(a_message_socket, receivesLoadMessages) {
  sendBytes(writeLoadReport({false, 500, {{1, 16, 1, 0, 0}}}));
  EXPECT_EQ(Loads.counters().ReportsReceived, 1U);
  load_summary Longest{1, true, 500, 112, {{1, 2, 2, 0, 0}}, {}, {}};
  Longest.Slice.resize((MaxLoadMessageSize - LoadSummaryHeaderSize - LoadSummaryEntrySize) / 4,
                       0x7f000001);
  sendBytes(writeLoadSummary(Longest));
  EXPECT_EQ(Loads.counters().SummariesAccepted, 1U);
  EXPECT_TRUE(Pooled.valid(Clock.now()));
  EXPECT_EQ(Counters.MalformedPeerMessages, 0U);
}

// Guards against reports about targets that don't reach the pool, and against announcements that
// don't reach the forwarders that reported.
TEST_F(a_message_socket, announcesDeadTargetsToAForwarderThatReported) {
  Targets.put({"i-3", 3, "web", {1, 80}, "a", 2}, Clock.now());
  const instant Start = Clock.now();
  const std::string Report =
      writeTargetStateMessage({target_state_message::type::Unanswered, {{{3, 0}, 0}}});
  std::string Last;
  for (int Ms = 0; Ms <= 2000; Ms += 250) {
    Clock.Now = Start + std::chrono::milliseconds(Ms);
    sendBytes(Report);
    Targets.find("i-3")->Health.onRepeat(0, Clock.now() - std::chrono::milliseconds(100));
    Targets.find("i-3")->Local = true;
    DeadTargets.sweep(nullptr, true, Clock.now());
    for (std::string Next = received(); !Next.empty(); Next = received())
      Last = Next;
    if (Ms == 0) {
      EXPECT_EQ(parseSuspicionMessage(Last),
                (suspicion_message{suspicion_message::type::Notice, {3}}));
    }
  }
  EXPECT_EQ(parseTargetStateMessage(Last),
            (target_state_message{target_state_message::type::Dead, {{{3, 0}, 0}}}));
  EXPECT_EQ(Counters.MalformedPeerMessages, 0U);
}

// Guards against announcements of hosts that aren't readers.
TEST_F(a_message_socket, ignoresAnnouncementsOfOthersThanReaders) {
  Targets.put({"i-3", 3, "web", {1, 80}, "a", 2}, Clock.now());
  const std::string Dead =
      writeTargetStateMessage({target_state_message::type::Dead, {{{3, 0}, 0}}});
  sendBytes(Dead);
  EXPECT_FALSE(Targets.find("i-3")->foundDead(Clock.now()));
  Revisions.setReaders({localEndpoint(Peer.get())});
  sendBytes(Dead);
  EXPECT_TRUE(Targets.find("i-3")->foundDead(Clock.now()));
}

} // namespace
} // namespace briarpoint
