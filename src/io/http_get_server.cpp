#include "io/http_get_server.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <stdexcept>
#include <utility>

namespace briarpoint {

namespace {

/// Limits in bytes: requests have no body and few header fields.
constexpr std::ptrdiff_t MaxBodySize = 0;
constexpr std::ptrdiff_t MaxHeaderSize = 8192;
/// Seconds after which a connection that sends nothing is closed.
constexpr int IdleTimeoutSeconds = 10;

struct server_deleter {
  void operator()(evhttp *Server) const { evhttp_free(Server); }
};

} // namespace

struct http_get_server::state {
  std::unique_ptr<evhttp, server_deleter> Server;
  handler Handler;

  static void onRequest(evhttp_request *Request, void *Argument);
};

void http_get_server::state::onRequest(evhttp_request *Request, void *Argument) {
  const char *const Path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(Request));
  const http_response Response =
      static_cast<state *>(Argument)->Handler(Path == nullptr ? "" : Path);
  for (const auto &[Name, Value] : Response.Headers)
    evhttp_add_header(evhttp_request_get_output_headers(Request), Name.c_str(), Value.c_str());
  evbuffer *Body = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Body, Response.Body.data(), Response.Body.size());
  evhttp_send_reply(Request, Response.Status, nullptr, Body);
}

http_get_server::http_get_server(event_loop &Loop, const endpoint &Local, handler Handler)
    : State(std::make_unique<state>()) {
  State->Handler = std::move(Handler);
  State->Server.reset(evhttp_new(Loop.base()));
  evhttp *Server = State->Server.get();
  if (Server == nullptr)
    throw std::runtime_error("evhttp_new failed");
  evhttp_set_allowed_methods(Server, EVHTTP_REQ_GET);
  evhttp_set_max_body_size(Server, MaxBodySize);
  evhttp_set_max_headers_size(Server, MaxHeaderSize);
  evhttp_set_timeout(Server, IdleTimeoutSeconds);
  evhttp_set_gencb(Server, state::onRequest, State.get());
  if (evhttp_bind_socket(Server, toString(Local.Address).c_str(), Local.Port) != 0)
    throw std::runtime_error("can't listen on " + toString(Local));
}

http_get_server::~http_get_server() = default;

} // namespace briarpoint
