#include "io/http_server.h"

#include "io/socket_address.h"
#include "io/sockets.h"

extern "C" {
#include <evhtp/evhtp.h>
}

#include <stdexcept>
#include <system_error>
#include <unordered_map>
#include <unordered_set>

namespace briarpoint {

/// Shared with the responders of pending requests, which may outlive the server.
struct http_server::state {
  event_loop *Loop = nullptr;
  evhtp_t *Server = nullptr;
  event *SweepTimer = nullptr;
  http_limits Limits;
  http_handler Handler;
  endpoint Local;
  std::uint64_t LastRequestId = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Expired = 0;
  bool Stopping = false;
  /// Open connections, and the deadlines for receiving their next request completely.
  std::unordered_map<evhtp_connection_t *, instant> Connections;
  /// Connections whose request is being handled. Their deadlines are not checked.
  std::unordered_set<evhtp_connection_t *> Busy;
  /// Requests without a response, by id, and the ids by request.
  std::unordered_map<std::uint64_t, evhtp_request_t *> Pending;
  std::unordered_map<evhtp_request_t *, std::uint64_t> RequestIds;

  static evhtp_res onPreAccept(evhtp_connection_t *Connection, void *Argument);
  static evhtp_res onPostAccept(evhtp_connection_t *Connection, void *Argument);
  static evhtp_res onHeaders(evhtp_request_t *Request, evhtp_headers_t *Headers, void *Argument);
  static evhtp_res onRequestEnd(evhtp_request_t *Request, void *Argument);
  static evhtp_res onConnectionEnd(evhtp_connection_t *Connection, void *Argument);
  static void onRequest(evhtp_request_t *Request, void *Argument);
  static void onSweep(int, short, void *Argument);

  instant now() const;
  void respond(std::uint64_t RequestId, const http_response &Response);
};

namespace {

/// Interval between checks of the connections' deadlines.
constexpr timeval SweepInterval{1, 0};

/// Returns the name of the method; empty if the parser doesn't support it.
std::string methodName(evhtp_request_t *Request) {
  const char *const Name = htparser_get_methodstr_m(evhtp_request_get_method(Request));
  return Name == nullptr ? "" : Name;
}

int addHeader(evhtp_header_t *Header, void *Argument) {
  auto &Headers = *static_cast<std::map<std::string, std::string> *>(Argument);
  std::string Name(Header->key, Header->klen);
  for (char &Character : Name)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  Headers[Name] = std::string(Header->val, Header->vlen);
  return 0;
}

int addQueryParameter(evhtp_kv_t *Parameter, void *Result) {
  auto &Query = *static_cast<std::map<std::string, std::string> *>(Result);
  const std::string Name =
      Parameter->key == nullptr ? "" : std::string(Parameter->key, Parameter->klen);
  Query[Name] = Parameter->val == nullptr ? "" : std::string(Parameter->val, Parameter->vlen);
  return 0;
}

int countHeader(evhtp_header_t *, void *Argument) {
  ++*static_cast<std::size_t *>(Argument);
  return 0;
}

incoming_request readRequest(evhtp_request_t *Request) {
  incoming_request Result;
  Result.Method = methodName(Request);
  if (Request->uri != nullptr && Request->uri->path != nullptr &&
      Request->uri->path->full != nullptr)
    Result.Path = Request->uri->path->full;
  if (Request->uri != nullptr && Request->uri->query != nullptr)
    evhtp_kvs_for_each(Request->uri->query, addQueryParameter, &Result.Query);
  evhtp_headers_for_each(Request->headers_in, addHeader, &Result.Headers);
  Result.Body.resize(evbuffer_get_length(Request->buffer_in));
  evbuffer_copyout(Request->buffer_in, Result.Body.data(), Result.Body.size());
  return Result;
}

/// evhtp stores every hook as a function without parameters. GCC accepts such a cast by way of
/// void (*)() only.
template <typename Function> evhtp_hook toHook(Function *Hook) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(Hook));
}

} // namespace

instant http_server::state::now() const {
  timeval Time{};
  event_base_gettimeofday_cached(Loop->base(), &Time);
  return instant(std::chrono::seconds(Time.tv_sec) + std::chrono::microseconds(Time.tv_usec));
}

evhtp_res http_server::state::onPreAccept(evhtp_connection_t *, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  if (Self.Connections.size() < Self.Limits.MaxConnections)
    return EVHTP_RES_OK;
  ++Self.Refused;
  return EVHTP_RES_ERROR;
}

evhtp_res http_server::state::onPostAccept(evhtp_connection_t *Connection, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  Self.Connections[Connection] = Self.now() + Self.Limits.RequestTimeout;
  // evhtp refuses a body whose size equals the limit that is set here.
  evhtp_connection_set_max_body_size(Connection, Self.Limits.MaxBodySize + 1);
  evhtp_connection_set_hook(Connection, evhtp_hook_on_headers, toHook(onHeaders), Argument);
  evhtp_connection_set_hook(Connection, evhtp_hook_on_request_fini, toHook(onRequestEnd), Argument);
  evhtp_connection_set_hook(Connection, evhtp_hook_on_connection_fini, toHook(onConnectionEnd),
                            Argument);
  return EVHTP_RES_OK;
}

evhtp_res http_server::state::onHeaders(evhtp_request_t *Request, evhtp_headers_t *Headers,
                                        void *Argument) {
  const auto &Self = *static_cast<state *>(Argument);
  std::size_t Count = 0;
  evhtp_headers_for_each(Headers, countHeader, &Count);
  const bool Accepted = Count <= Self.Limits.MaxHeaderFields && !methodName(Request).empty();
  return Accepted ? EVHTP_RES_OK : EVHTP_RES_BADREQ;
}

evhtp_res http_server::state::onRequestEnd(evhtp_request_t *Request, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  const auto Found = Self.RequestIds.find(Request);
  if (Found != Self.RequestIds.end()) {
    Self.Pending.erase(Found->second);
    Self.RequestIds.erase(Found);
  }
  return EVHTP_RES_OK;
}

evhtp_res http_server::state::onConnectionEnd(evhtp_connection_t *Connection, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  Self.Connections.erase(Connection);
  Self.Busy.erase(Connection);
  return EVHTP_RES_OK;
}

void http_server::state::onRequest(evhtp_request_t *Request, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  const std::uint64_t RequestId = ++Self.LastRequestId;
  Self.Pending[RequestId] = Request;
  Self.RequestIds[Request] = RequestId;
  Self.Busy.insert(Request->conn);
  const std::shared_ptr<state> Shared(*static_cast<std::shared_ptr<state> *>(Self.Server->arg));
  const incoming_request Parsed = readRequest(Request);
  // The request stays paused until the responder is called, which may be from within the handler.
  evhtp_request_pause(Request);
  Self.Handler(Parsed, [Shared, RequestId](const http_response &Response) {
    Shared->respond(RequestId, Response);
  });
}

void http_server::state::respond(std::uint64_t RequestId, const http_response &Response) {
  const auto Found = Pending.find(RequestId);
  if (Found == Pending.end() || Stopping)
    return;
  evhtp_request_t *const Request = Found->second;
  Pending.erase(Found);
  RequestIds.erase(Request);
  Busy.erase(Request->conn);
  Connections[Request->conn] = now() + Limits.RequestTimeout;
  for (const auto &[Name, Value] : Response.Headers)
    evhtp_headers_add_header(Request->headers_out,
                             evhtp_header_new(Name.c_str(), Value.c_str(), 1, 1));
  evbuffer_add(Request->buffer_out, Response.Body.data(), Response.Body.size());
  evhtp_send_reply(Request, static_cast<evhtp_res>(Response.Status));
  evhtp_request_resume(Request);
}

void http_server::state::onSweep(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  std::vector<evhtp_connection_t *> Overdue;
  for (const auto &[Connection, Deadline] : Self.Connections)
    if (Deadline < Self.now() && !Self.Busy.contains(Connection))
      Overdue.push_back(Connection);
  for (evhtp_connection_t *Connection : Overdue) {
    ++Self.Expired;
    evhtp_connection_free(Connection);
  }
}

http_server::http_server(event_loop &Loop, const endpoint &Local, const http_limits &Limits,
                         http_handler Handler)
    : State(std::make_shared<state>()) {
  file_descriptor Socket = openTcpSocket(Local);
  State->Loop = &Loop;
  State->Limits = Limits;
  State->Handler = std::move(Handler);
  State->Local = localEndpoint(Socket.get());
  State->Server = evhtp_new(Loop.base(), &State);
  if (State->Server == nullptr)
    throw std::runtime_error("evhtp_new failed");
  evhtp_set_gencb(State->Server, state::onRequest, State.get());
  evhtp_set_pre_accept_cb(State->Server, state::onPreAccept, State.get());
  evhtp_set_post_accept_cb(State->Server, state::onPostAccept, State.get());
  constexpr int Backlog = 128;
  if (evhtp_accept_socket(State->Server, Socket.get(), Backlog) != 0) {
    evhtp_free(State->Server);
    throw std::system_error(errno, std::generic_category(), "listen " + toString(Local));
  }
  Socket.release();
  State->SweepTimer = event_new(Loop.base(), -1, EV_PERSIST, state::onSweep, State.get());
  event_add(State->SweepTimer, &SweepInterval);
}

http_server::~http_server() {
  State->Stopping = true;
  event_free(State->SweepTimer);
  std::vector<evhtp_connection_t *> Open;
  for (const auto &[Connection, Deadline] : State->Connections)
    Open.push_back(Connection);
  for (evhtp_connection_t *Connection : Open)
    evhtp_connection_free(Connection);
  evhtp_unbind_socket(State->Server);
  evhtp_free(State->Server);
}

void http_server::setLimits(const http_limits &Limits) { State->Limits = Limits; }

endpoint http_server::local() const { return State->Local; }

std::uint64_t http_server::refusedConnections() const { return State->Refused; }

std::uint64_t http_server::expiredConnections() const { return State->Expired; }

} // namespace briarpoint
