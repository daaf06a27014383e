#ifndef BRIARPOINT_STANDINS_HTTP_SERVICE_H
#define BRIARPOINT_STANDINS_HTTP_SERVICE_H

#include "net/endpoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace briarpoint::standins {

/// HTTP server of the stand-ins on libevhtp. A request may be answered later, or never.
class http_service {
public:
  /// Identifier of a request; never reused.
  using request_id = std::uint64_t;

  struct request {
    request_id Id = 0;
    std::string Method;
    std::string Path;
    std::map<std::string, std::string> Query;
    /// Names in lower case.
    std::map<std::string, std::string> Headers;
    std::string Body;
  };

  struct response {
    std::uint16_t Status = 200;
    std::map<std::string, std::string> Headers;
    std::string Body;
  };

  using handler = std::function<void(const request &)>;

  /// Listens on \p Listen; port 0 picks a free one.
  /// \throws std::runtime_error if the address can't be bound.
  http_service(event_base *Base, const endpoint &Listen, handler Handler);
  /// Ends all connections.
  ~http_service();
  http_service(const http_service &) = delete;
  http_service &operator=(const http_service &) = delete;

  endpoint address() const;

  /// Sends the answer of a request. Does nothing if its connection has ended.
  void answer(request_id Id, const response &Response);

  /// Returns whether the request's connection is open and no answer was sent.
  bool isWaiting(request_id Id) const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_HTTP_SERVICE_H
