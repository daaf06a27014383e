#ifndef BRIARPOINT_IO_HTTP_CLIENT_H
#define BRIARPOINT_IO_HTTP_CLIENT_H

#include "io/event_loop.h"
#include "io/http_message.h"
#include "io/outgoing_request.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace briarpoint {

/// Approximate size on the wire in bytes: status line, header fields and body.
std::size_t wireSize(const http_response &Response);

/// HTTP/1.1 client on an event loop. Each request uses a separate connection. Names of header
/// fields in responses are in lower case.
class http_client {
public:
  using callback = std::function<void(const std::optional<http_response> &)>;

  /// \p Loop must outlive the client.
  explicit http_client(event_loop &Loop);
  /// Cancels the requests in progress without calling their callbacks.
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends a request. \p Done is called once, with std::nullopt if no complete response was
  /// received in time.
  void send(const outgoing_request &Call, callback Done);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_CLIENT_H
