#ifndef BRIARPOINT_IO_HTTP_CLIENT_H
#define BRIARPOINT_IO_HTTP_CLIENT_H

#include "io/event_loop.h"
#include "io/http_message.h"
#include "net/endpoint.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace briarpoint {

/// A request to send.
struct outgoing_request {
  endpoint Server;
  /// "GET" or "POST".
  std::string Method = "GET";
  /// Path with query.
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Time limit for the whole call.
  duration Limit = std::chrono::seconds(1);
  std::size_t MaxResponse = 1'100'000;
};

/// Approximate size on the wire: start line, header fields and body.
std::size_t wireSize(const outgoing_request &Request);
std::size_t wireSize(const http_response &Response);

/// HTTP/1.1 client on an event loop, by libevent. Each call uses a connection of its own.
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
