#ifndef BRIARPOINT_IO_HTTP_LIMITS_H
#define BRIARPOINT_IO_HTTP_LIMITS_H

#include "base/instant.h"

#include <cstddef>

namespace briarpoint {

/// Limits of an HTTP server.
struct http_limits {
  /// In bytes.
  std::size_t MaxBodySize = 1'000'000;
  std::size_t MaxHeaderFields = 64;
  std::size_t MaxConnections = 64;
  /// Time in which a complete request must be received. Idle connections are closed after the same
  /// time.
  duration RequestTimeout = std::chrono::seconds(10);
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_LIMITS_H
