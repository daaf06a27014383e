#include "io/http_call.h"

namespace briarpoint {

http_call::http_call(event_base *Base, outgoing_request Request, callback Done)
    : Connection(Base, {Request.Limit}) {
  Request.Headers["Connection"] = "close";
  Connection.send(Request, std::move(Done));
}

} // namespace briarpoint
