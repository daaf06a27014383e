#ifndef BRIARPOINT_IO_HTTP_CALL_H
#define BRIARPOINT_IO_HTTP_CALL_H

#include "io/http_connection.h"

struct event_base;

namespace briarpoint {

/// One HTTP request on a separate connection.
class http_call {
public:
  using callback = http_connection::callback;

  /// Starts the request. \p Done is called once from the loop of \p Base, not from within the
  /// constructor, and may destroy the call.
  http_call(event_base *Base, outgoing_request Request, callback Done);

private:
  http_connection Connection;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_CALL_H
