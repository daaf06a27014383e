#include "io/http_client.h"
#include "io/http_server.h"
#include "io/socket_address.h"
#include "io/sockets.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace briarpoint {
namespace {

/// Limit of waits for a response; long enough for a busy machine.
constexpr duration WaitTimeout = std::chrono::seconds(20);

const endpoint Loopback = *parseEndpoint("127.0.0.1:1");

endpoint anyPort() { return {Loopback.Address, 0}; }

/// A server that echoes the path and body of requests, and a client, on one loop.
class http_server_running : public testing::Test {
protected:
  http_server_running() {
    Limits.MaxBodySize = 1000;
    Limits.MaxHeaderFields = 10;
    Limits.MaxConnections = 3;
    Limits.RequestTimeout = std::chrono::seconds(1);
  }

  void start() {
    Server = std::make_unique<http_server>(
        Loop, anyPort(), Limits,
        [this](const incoming_request &Request, const http_responder &Respond) {
          ++HandledRequests;
          LastRequest = Request;
          if (Request.Path == "/later") {
            PendingResponder = Respond;
            return;
          }
          Respond({200, {{"X-Path", Request.Path}}, Request.Body});
        });
  }

  std::optional<http_response> call(const std::string &Method, const std::string &Target,
                                    const std::string &Body,
                                    const std::map<std::string, std::string> &Headers = {}) {
    outgoing_request Call;
    Call.Server = Server->local();
    Call.Method = Method;
    Call.Target = Target;
    Call.Body = Body;
    Call.Headers = Headers;
    Call.Limit = WaitTimeout;
    std::optional<http_response> Result;
    bool Done = false;
    Client.send(Call, [&](const std::optional<http_response> &Response) {
      Result = Response;
      Done = true;
    });
    while (!Done) {
      Loop.runOnce(true);
      if (PendingResponder && std::exchange(RespondToPending, false))
        std::exchange(PendingResponder, nullptr)({202, {}, "late"});
    }
    return Result;
  }

  /// Opens a connection and sends \p Text.
  file_descriptor connectAndSend(const std::string &Text) {
    file_descriptor Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const socket_address Address = toSocketAddress(Server->local());
    EXPECT_EQ(connect(Socket.get(), Address.get(), Address.Size), 0);
    EXPECT_EQ(::send(Socket.get(), Text.data(), Text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Text.size()));
    return Socket;
  }

  /// Runs the loop until the peer closed \p Socket, and returns what was received before.
  std::string readToEnd(int Socket) {
    std::string Text;
    for (;;) {
      Loop.runOnce(false);
      char Buffer[4096];
      const ssize_t Size = recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
      if (Size > 0)
        Text.append(Buffer, static_cast<std::size_t>(Size));
      else if (Size == 0 || errno != EAGAIN)
        return Text;
    }
  }

  event_loop Loop;
  http_limits Limits;
  std::unique_ptr<http_server> Server;
  http_client Client{Loop};
  incoming_request LastRequest;
  http_responder PendingResponder;
  bool RespondToPending = true;
  int HandledRequests = 0;
};

// Guards against lost request parts: method, path, query, header and body all reach the handler.
TEST_F(http_server_running, deliversWholeRequestsAndResponses) {
  start();
  const auto Response = call("POST", "/v1/x?dry_run=1&empty=", "body", {{"X-Thing", "Value"}});
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->Status, 200);
  EXPECT_EQ(Response->Body, "body");
  EXPECT_EQ(Response->Headers.at("x-path"), "/v1/x");
  EXPECT_EQ(LastRequest.Method, "POST");
  EXPECT_EQ(LastRequest.Query.at("dry_run"), "1");
  EXPECT_EQ(LastRequest.Headers.at("x-thing"), "Value");
}

// Guards against losing a response that is sent after the handler has returned.
TEST_F(http_server_running, respondsLater) {
  start();
  const auto Response = call("POST", "/later", "");
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->Status, 202);
  EXPECT_EQ(Response->Body, "late");
}

// Guards against memory use by oversized bodies. The server must still handle later requests.
TEST_F(http_server_running, refusesOversizedBodies) {
  start();
  const auto Response = call("POST", "/", std::string(5000, 'x'));
  EXPECT_TRUE(!Response || Response->Status >= 400);
  EXPECT_EQ(HandledRequests, 0);
  EXPECT_TRUE(call("POST", "/", std::string(1000, 'x')));
  EXPECT_EQ(HandledRequests, 1);
}

// Guards against handling requests that the parser or the limits must refuse.
TEST_F(http_server_running, refusesMalformedRequests) {
  start();
  std::string ManyHeaders = "GET / HTTP/1.1\r\n";
  for (int I = 0; I < 50; ++I)
    ManyHeaders += "H" + std::to_string(I) + ": v\r\n";
  struct fault {
    const char *Name;
    std::string Text;
  };
  const fault Faults[] = {
      {"no HTTP", "\x01\x02\x03\r\n\r\n"},
      {"unknown method", "FETCH / HTTP/1.1\r\n\r\n"},
      {"endless request line", "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n"},
      {"too many headers", ManyHeaders + "\r\n"},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"},
      {"length out of range",
       "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\nx"},
  };
  for (const fault &Fault : Faults) {
    SCOPED_TRACE(Fault.Name);
    const file_descriptor Socket = connectAndSend(Fault.Text);
    const std::string Answer = readToEnd(Socket.get());
    EXPECT_EQ(Answer.find("HTTP/1.1 200"), std::string::npos) << Answer;
    EXPECT_EQ(HandledRequests, 0);
  }
  EXPECT_TRUE(call("GET", "/", ""));
}

// Guards against clients that hold connections open by sending a request very slowly.
TEST_F(http_server_running, endsConnectionsWithIncompleteRequests) {
  start();
  const file_descriptor Socket = connectAndSend("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  readToEnd(Socket.get());
  EXPECT_EQ(Server->expiredConnections(), 1U);
  EXPECT_EQ(HandledRequests, 0);
}

// Guards against exhausting file descriptors by opening connections.
TEST_F(http_server_running, refusesConnectionsOverTheLimit) {
  start();
  std::vector<file_descriptor> Sockets;
  Sockets.reserve(5);
  for (int I = 0; I < 5; ++I)
    Sockets.push_back(connectAndSend("GET"));
  while (Server->refusedConnections() < 2)
    Loop.runOnce(true);
  EXPECT_EQ(readToEnd(Sockets[4].get()), "");
  Sockets.clear();
  // New connections are accepted again after the others were closed.
  std::optional<http_response> Response;
  while (!Response)
    Response = call("GET", "/", "");
  EXPECT_EQ(Response->Status, 200);
}

// Guards against use of a request whose connection or server no longer exists.
TEST_F(http_server_running, ignoresAnswersAfterTheServerEnded) {
  start();
  RespondToPending = false;
  const file_descriptor Socket = connectAndSend("GET /later HTTP/1.1\r\n\r\n");
  while (!PendingResponder)
    Loop.runOnce(true);
  Server.reset();
  PendingResponder({200, {}, "too late"});
  EXPECT_EQ(readToEnd(Socket.get()), "");
}

// Guards against requests that never end: connection refused, and a server that doesn't respond.
TEST_F(http_server_running, clientReportsFailedCalls) {
  start();
  const file_descriptor NotListening = openTcpSocket(anyPort());
  struct fault {
    const char *Name;
    endpoint Server;
  };
  const file_descriptor Listening = openTcpSocket(anyPort());
  ASSERT_EQ(listen(Listening.get(), 5), 0);
  const fault Faults[] = {{"refused", localEndpoint(NotListening.get())},
                          {"never answers", localEndpoint(Listening.get())}};
  for (const fault &Fault : Faults) {
    SCOPED_TRACE(Fault.Name);
    outgoing_request Call;
    Call.Server = Fault.Server;
    Call.Target = "/";
    Call.Limit = std::chrono::milliseconds(200);
    int Done = 0;
    Client.send(Call, [&](const std::optional<http_response> &Response) {
      EXPECT_FALSE(Response);
      ++Done;
    });
    while (Done == 0)
      Loop.runOnce(true);
    EXPECT_EQ(Done, 1);
  }
}

} // namespace
} // namespace briarpoint
