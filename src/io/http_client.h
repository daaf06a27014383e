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

/// Approximate size on the wire.
std::size_t wireSize(const http_response &Response);

/// HTTP/1.1 client on an event loop. Each call uses a connection of its own. Names of header fields
/// in responses are in lower case.
class http_client {
public:
  using callback = std::function<void(const std::optional<http_response> &)>;

  /// \p Loop must outlive the client.
  explicit http_client(event_loop &Loop);
  /// Drops the calls in progress without calling back.
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends a request. \p Done is called once, with nothing if there was no complete response in
  /// time.
  void send(const outgoing_request &Call, callback Done);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_CLIENT_H
