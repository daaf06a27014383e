#include "io/http_connection.h"

#include "io/timeval.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace briarpoint {

namespace {

struct event_deleter {
  void operator()(event *Event) const { event_free(Event); }
};
using event_pointer = std::unique_ptr<event, event_deleter>;

struct connection_deleter {
  void operator()(evhttp_connection *Connection) const { evhttp_connection_free(Connection); }
};

/// Returns nothing if \p Request failed.
std::optional<http_response> readResponse(evhttp_request *Request) {
  if (Request == nullptr || evhttp_request_get_response_code(Request) == 0)
    return std::nullopt;
  http_response Response;
  Response.Status = evhttp_request_get_response_code(Request);
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Header = Headers->tqh_first; Header != nullptr;
       Header = Header->next.tqe_next)
    Response.Headers[Header->key] = Header->value;
  evbuffer *Body = evhttp_request_get_input_buffer(Request);
  Response.Body.resize(evbuffer_get_length(Body));
  evbuffer_remove(Body, Response.Body.data(), Response.Body.size());
  return Response;
}

evhttp_cmd_type toCommand(const std::string &Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  return EVHTTP_REQ_GET;
}

} // namespace

struct http_connection::state {
  event_loop &Loop;
  http_connection_settings Settings;
  std::unique_ptr<evhttp_connection, connection_deleter> Connection;
  endpoint Server;
  /// Ends the call at its time limit.
  event_pointer Deadline;
  /// Ends the call if there is no connection yet.
  event_pointer ConnectCheck;
  /// Calls back outside of libevent's own callbacks, in which a connection can't be freed.
  event_pointer Delivery;
  callback Done;
  std::optional<http_response> Response;

  state(event_loop &Loop, const http_connection_settings &Settings)
      : Loop(Loop), Settings(Settings), Deadline(event_new(Loop.base(), -1, 0, onLimit, this)),
        ConnectCheck(event_new(Loop.base(), -1, 0, onConnectCheck, this)),
        Delivery(event_new(Loop.base(), -1, 0, onDelivery, this)) {}

  static void onResponse(evhttp_request *Request, void *Argument);
  static void onLimit(int, short, void *Argument);
  static void onConnectCheck(int, short, void *Argument);
  static void onDelivery(int, short, void *Argument);

  int descriptor() const {
    bufferevent *Buffer =
        Connection ? evhttp_connection_get_bufferevent(Connection.get()) : nullptr;
    return Buffer == nullptr ? -1 : bufferevent_getfd(Buffer);
  }
  void connect(const outgoing_request &Call);
  void probePeer() const;
  void end(std::optional<http_response> Result);
};

void http_connection::state::onResponse(evhttp_request *Request, void *Argument) {
  static_cast<state *>(Argument)->end(readResponse(Request));
}

void http_connection::state::onLimit(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  Self.Connection.reset();
  Self.end(std::nullopt);
}

void http_connection::state::onConnectCheck(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  sockaddr_storage Peer{};
  socklen_t Size = sizeof(Peer);
  if (getpeername(Self.descriptor(), reinterpret_cast<sockaddr *>(&Peer), &Size) != 0)
    onLimit(-1, 0, Argument);
}

void http_connection::state::onDelivery(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  if (!Self.Response)
    Self.Connection.reset();
  // The callback may destroy the connection or start the next call.
  const callback Done = std::exchange(Self.Done, nullptr);
  const std::optional<http_response> Result = std::exchange(Self.Response, std::nullopt);
  if (Done)
    Done(Result);
}

void http_connection::state::end(std::optional<http_response> Result) {
  event_del(Deadline.get());
  event_del(ConnectCheck.get());
  Response = std::move(Result);
  event_active(Delivery.get(), EV_TIMEOUT, 0);
}

void http_connection::state::connect(const outgoing_request &Call) {
  if (Connection && Server == Call.Server)
    return;
  Server = Call.Server;
  Connection.reset(evhttp_connection_base_new(Loop.base(), nullptr,
                                              toString(Server.Address).c_str(), Server.Port));
  evhttp_connection_set_max_headers_size(Connection.get(), 16384);
  evhttp_connection_set_retries(Connection.get(), 0);
}

void http_connection::state::probePeer() const {
  const int Socket = descriptor();
  if (Socket < 0)
    return;
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  const int Seconds = Settings.ProbeSeconds;
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof(Seconds));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &Seconds, sizeof(Seconds));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &Settings.ProbeCount, sizeof(Settings.ProbeCount));
  // Probes aren't sent while data is unacknowledged; this limit covers that case.
  const int Milliseconds = Seconds * (Settings.ProbeCount + 1) * 1000;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds, sizeof(Milliseconds));
}

http_connection::http_connection(event_loop &Loop, const http_connection_settings &Settings)
    : State(std::make_unique<state>(Loop, Settings)) {}

http_connection::~http_connection() { State->Connection.reset(); }

void http_connection::send(const outgoing_request &Call, callback Done) {
  state &Self = *State;
  Self.Done = std::move(Done);
  Self.connect(Call);
  evhttp_connection_set_max_body_size(Self.Connection.get(),
                                      static_cast<std::int64_t>(Call.MaxResponse));

  evhttp_request *Request = evhttp_request_new(state::onResponse, &Self);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", toString(Call.Server).c_str());
  for (const auto &[Name, Value] : Call.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(), Call.Body.size());

  const timeval Limit = toTimeval(Call.Limit);
  event_add(Self.Deadline.get(), &Limit);
  const timeval Connect = toTimeval(Self.Settings.ConnectTime);
  event_add(Self.ConnectCheck.get(), &Connect);
  // On failure libevent has already called back.
  if (evhttp_make_request(Self.Connection.get(), Request, toCommand(Call.Method),
                          Call.Target.c_str()) == 0)
    Self.probePeer();
}

} // namespace briarpoint
