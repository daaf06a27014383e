#include "io/http_connection.h"

#include "io/event_loop.h"
#include "io/socket_address.h"
#include "io/sockets.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace briarpoint {
namespace {

/// A client that has sent a request to a server of the test, which has accepted the connection.
class request_in_progress : public testing::Test {
protected:
  request_in_progress() {
    listen(Listening.get(), 1);
    outgoing_request Call;
    Call.Server = localEndpoint(Listening.get());
    Call.Target = "/";
    Call.Limit = std::chrono::seconds(20);
    Call.MaxResponseSize = 10000;
    Connection.send(Call, [this](const http_answer &Answer) {
      Outcome = Answer.Outcome;
      Body = Answer.Body;
    });
    while (Accepted.get() < 0) {
      Loop.runOnce(false);
      Accepted = file_descriptor(accept(Listening.get(), nullptr, nullptr));
    }
  }

  /// The server sends \p Text; returns after some of it has arrived, or with the whole response.
  void sendPart(const std::string &Text) {
    const std::size_t Before = Connection.receivedBytes();
    ASSERT_EQ(::send(Accepted.get(), Text.data(), Text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Text.size()));
    while (Connection.receivedBytes() == Before && !Body)
      Loop.runOnce(true);
  }

  event_loop Loop;
  file_descriptor Listening = openTcpSocket({*parseIpAddress("127.0.0.1"), 0});
  file_descriptor Accepted;
  http_connection Connection{Loop.base(), {}};
  std::optional<std::string> Body;
  http_answer::outcome Outcome = http_answer::outcome::NotSent;
};

struct body_case {
  const char *Name;
  std::string Headers;
  std::string FirstPart;
  std::string SecondPart;
};

class response_in_parts : public request_in_progress,
                          public testing::WithParamInterface<body_case> {};

// Guards against a large answer on a slow link that can't be told from a call that the store never
// received (review, case 8).
TEST_P(response_in_parts, showsThatItArrives) {
  EXPECT_EQ(Connection.receivedBytes(), 0U);
  sendPart("HTTP/1.1 200 OK\r\n" + GetParam().Headers + "\r\n" + GetParam().FirstPart);
  const std::size_t First = Connection.receivedBytes();
  EXPECT_GE(First, 1000U);
  sendPart(GetParam().FirstPart);
  EXPECT_GE(Connection.receivedBytes(), First + 1000);
  EXPECT_FALSE(Body);
  sendPart(GetParam().SecondPart);
  while (!Body)
    Loop.runOnce(true);
  EXPECT_EQ(Body->size(), 2500U);
  EXPECT_EQ(Connection.receivedBytes(), 0U);
}

// Guards against the bytes of a cancelled request that count for the next one.
TEST_P(response_in_parts, isForgottenWithItsRequest) {
  sendPart("HTTP/1.1 200 OK\r\n" + GetParam().Headers + "\r\n" + GetParam().FirstPart);
  Connection.cancel();
  EXPECT_EQ(Connection.receivedBytes(), 0U);
}

// Guards against a response that is larger than the request allows, whose content is then received
// in vain again and again, because it looks like one that is missing (review, case 14).
TEST_P(response_in_parts, isRefusedAsTooLarge) {
  const bool Chunked = GetParam().Headers.starts_with("Transfer");
  sendPart("HTTP/1.1 200 OK\r\n" +
           (Chunked ? GetParam().Headers + "\r\n2af8\r\n" + std::string(11'000, 'a')
                    : "Content-Length: 11000\r\n\r\n" + std::string(1000, 'a')));
  while (!Body)
    Loop.runOnce(true);
  EXPECT_EQ(Outcome, http_answer::outcome::TooLarge);
  EXPECT_TRUE(Body->empty());
}

INSTANTIATE_TEST_SUITE_P(
    bodies, response_in_parts,
    testing::Values(body_case{"known_length", "Content-Length: 2500\r\n", std::string(1000, 'a'),
                              std::string(500, 'b')},
                    body_case{"chunks", "Transfer-Encoding: chunked\r\n",
                              "3e8\r\n" + std::string(1000, 'a') + "\r\n",
                              "1f4\r\n" + std::string(500, 'b') + "\r\n0\r\n\r\n"}),
    [](const testing::TestParamInfo<body_case> &Info) { return Info.param.Name; });

} // namespace
} // namespace briarpoint
