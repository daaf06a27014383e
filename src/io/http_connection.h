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
  /// Time in which a connection must be there. A packet that opens one is lost in a cut and
  /// repeated only after seconds, so a new attempt is faster.
  duration ConnectTime = std::chrono::milliseconds(1000);
  /// Whole seconds of silence after which the connection is probed, and between probes; after
  /// ProbeCount unanswered ones it ends. So a peer that vanished is noticed while a call waits.
  int ProbeSeconds = 1;
  int ProbeCount = 2;
};

/// HTTP/1.1 client that keeps one connection to one server (libevent). One call at a time: a
/// connection on which an answer was lost is closed, because a late answer could be taken for that
/// of the next call.
class http_connection {
public:
  using callback = std::function<void(const http_answer &)>;

  /// \p Base must outlive the object.
  http_connection(event_base *Base, const http_connection_settings &Settings);
  /// Drops a call in progress without calling back.
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  /// Sends a request. \p Done is called once, never from within send(), with nothing if there was
  /// no complete response in time. It may send the next request. No call may be in progress.
  void send(const outgoing_request &Call, callback Done);

  /// Drops a call in progress without calling back, and the connection.
  void cancel();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_CONNECTION_H
