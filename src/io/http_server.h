#ifndef BRIARPOINT_IO_HTTP_SERVER_H
#define BRIARPOINT_IO_HTTP_SERVER_H

#include "io/event_loop.h"
#include "io/http_limits.h"
#include "io/http_message.h"
#include "net/endpoint.h"

#include <memory>

namespace briarpoint {

/// HTTP/1.1 server on an event loop (libevhtp).
class http_server {
public:
  /// Listens on \p Local; port 0 lets the system choose. \p Loop must outlive the server.
  /// \throws std::system_error if the address can't be bound.
  http_server(event_loop &Loop, const endpoint &Local, const http_limits &Limits,
              http_handler Handler);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Replaces the limits, for open connections too. These keep their MaxBodySize, and a deadline
  /// that was set before.
  void setLimits(const http_limits &Limits);

  /// Endpoint on which the server listens.
  endpoint local() const;

  /// Connections refused because of MaxConnections, and connections ended because of
  /// RequestTimeout.
  std::uint64_t refusedConnections() const;
  std::uint64_t expiredConnections() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_SERVER_H
