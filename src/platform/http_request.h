#ifndef BRIARPOINT_PLATFORM_HTTP_REQUEST_H
#define BRIARPOINT_PLATFORM_HTTP_REQUEST_H

#include "base/instant.h"
#include "net/endpoint.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace briarpoint {

/// What an http_call sends, and its limits.
struct http_request {
  enum class method { Get, Put, Post };

  endpoint Server;
  method Method = method::Get;
  /// Path and query, already percent-encoded.
  std::string Target;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Time without progress (connecting included) after which the call ends.
  duration IdleLimit{};
  /// Time after which the call ends in any case.
  duration TotalLimit{};
  std::size_t MaxAnswerBytes = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_PLATFORM_HTTP_REQUEST_H
