#ifndef BRIARPOINT_IO_OUTGOING_REQUEST_H
#define BRIARPOINT_IO_OUTGOING_REQUEST_H

#include "base/instant.h"
#include "net/endpoint.h"

#include <cstddef>
#include <map>
#include <string>

namespace briarpoint {

/// An HTTP request to send.
struct outgoing_request {
  endpoint Server;
  /// "GET", "POST" or "PUT".
  std::string Method = "GET";
  /// Path with query, already percent-encoded.
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Time limit for the whole request, from connecting to the end of the response.
  duration Limit = std::chrono::seconds(1);
  /// Largest accepted body of a response, in bytes.
  std::size_t MaxResponseSize = 1'100'000;
};

/// Approximate size on the wire in bytes: request line, header fields and body.
std::size_t wireSize(const outgoing_request &Request);

} // namespace briarpoint

#endif // BRIARPOINT_IO_OUTGOING_REQUEST_H
