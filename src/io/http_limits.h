#ifndef BRIARPOINT_IO_HTTP_LIMITS_H
#define BRIARPOINT_IO_HTTP_LIMITS_H

#include "base/instant.h"

#include <cstddef>

namespace briarpoint {

/// Limits of an HTTP server.
struct http_limits {
  std::size_t MaxBodySize = 1'000'000;
  std::size_t MaxHeaders = 64;
  std::size_t MaxConnections = 64;
  /// Time in which a complete request must have arrived, and after which an idle connection ends.
  duration RequestTimeout = std::chrono::seconds(10);
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_LIMITS_H
