#ifndef BRIARPOINT_IO_HTTP_GET_SERVER_H
#define BRIARPOINT_IO_HTTP_GET_SERVER_H

#include "io/event_loop.h"
#include "io/http_message.h"
#include "net/endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace briarpoint {

/// HTTP/1.1 server (libevent) for GET requests that are answered synchronously. http_server needs
/// libevhtp, which loads OpenSSL. That doubles the processor time of a start, which matters on the
/// smallest instances.
class http_get_server {
public:
  using handler = std::function<http_response(const std::string &Path)>;

  /// \p Loop must outlive the server.
  /// \throws std::runtime_error if \p Local can't be bound.
  http_get_server(event_loop &Loop, const endpoint &Local, handler Handler);
  ~http_get_server();
  http_get_server(const http_get_server &) = delete;
  http_get_server &operator=(const http_get_server &) = delete;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_GET_SERVER_H
