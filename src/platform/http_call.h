#ifndef BRIARPOINT_PLATFORM_HTTP_CALL_H
#define BRIARPOINT_PLATFORM_HTTP_CALL_H

#include "base/instant.h"
#include "net/endpoint.h"
#include "platform/http_answer.h"
#include "platform/http_request.h"

#include <event2/http.h>

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace briarpoint {

/// One HTTP request on a connection of its own (libevent's client).
class http_call {
public:
  using callback = std::function<void(const http_answer &)>;

  /// Starts the request. \p Done is called once from the loop of \p Base, not from within the
  /// constructor, and may destroy the call.
  http_call(event_base *Base, const http_request &Request, callback Done);
  /// Cancels the request if it isn't finished.
  ~http_call();
  http_call(const http_call &) = delete;
  http_call &operator=(const http_call &) = delete;

private:
  struct event_deleter {
    void operator()(event *Event) const;
  };
  struct connection_deleter {
    void operator()(evhttp_connection *Connection) const { evhttp_connection_free(Connection); }
  };

  void send(event_base *Base, const http_request &Request);
  void finish(evhttp_request *Request);
  void end(http_answer::outcome Outcome);

  callback Done;
  http_answer Answer;
  bool Ended = false;
  /// Ends the call at its time limit.
  std::unique_ptr<event, event_deleter> Limit;
  /// Delivers the answer from the loop, because the connection can't be freed in its own callback.
  std::unique_ptr<event, event_deleter> Delivery;
  std::unique_ptr<evhttp_connection, connection_deleter> Connection;
};

} // namespace briarpoint

#endif // BRIARPOINT_PLATFORM_HTTP_CALL_H
