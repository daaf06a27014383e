#ifndef BRIARPOINT_IO_HTTP_CONNECTION_H
#define BRIARPOINT_IO_HTTP_CONNECTION_H

#include "io/http_answer.h"
#include "io/outgoing_request.h"

#include <functional>
#include <memory>

struct event_base;

namespace briarpoint {

/// Settings of http_connection.
struct http_connection_settings {
  /// Limit for establishing a connection. A SYN that is lost in a network failure is retransmitted
  /// only after seconds, so a new attempt is faster.
  duration ConnectTimeout = std::chrono::milliseconds(1000);
  /// TCP keepalive: seconds of idle time before the first probe, and between probes. After
  /// KeepaliveProbes unanswered ones, the connection is closed. This detects a peer that vanished
  /// while a response is awaited.
  int KeepaliveSeconds = 1;
  int KeepaliveProbes = 2;
};

/// HTTP/1.1 client that keeps one connection to one server (libevent). Only one request may be in
/// progress. A connection is closed after a request without a complete response, because a late
/// response could be mistaken for that to the next request.
class http_connection {
public:
  using callback = std::function<void(const http_answer &)>;

  /// \p Base must outlive the object.
  http_connection(event_base *Base, const http_connection_settings &Settings);
  /// Cancels a request in progress without calling its callback.
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  /// Sends a request; none may be in progress. \p Done is called once, never from within send(). It
  /// may send the next request.
  void send(const outgoing_request &Call, callback Done);

  /// Returns how many bytes of the response to the request in progress have arrived so far; 0 if
  /// none is in progress.
  std::size_t receivedBytes() const;

  /// Cancels a request in progress without calling its callback, and closes the connection.
  void cancel();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_CONNECTION_H
