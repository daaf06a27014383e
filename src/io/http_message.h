#ifndef BRIARPOINT_IO_HTTP_MESSAGE_H
#define BRIARPOINT_IO_HTTP_MESSAGE_H

#include <functional>
#include <map>
#include <string>

namespace briarpoint {

/// A received HTTP request.
struct incoming_request {
  /// "GET", "POST" or another method in capitals.
  std::string Method;
  /// Path without query, such as "/v1/config".
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Header fields, names in lower case. Of a repeated field, only the last one is kept.
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// An HTTP response.
struct http_response {
  int Status = 200;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Sends the response to one request. May be called at most once, from within the handler or later.
using http_responder = std::function<void(const http_response &)>;

/// Handles a request and calls the responder, from within the handler or later.
using http_handler = std::function<void(const incoming_request &, http_responder)>;

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_MESSAGE_H
