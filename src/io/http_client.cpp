#include "io/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <unordered_map>
#include <utility>
#include <vector>

namespace briarpoint {

struct http_client::state {
  /// A call in progress.
  struct call {
    state *Owner = nullptr;
    std::uint64_t Number = 0;
    evhttp_connection *Connection = nullptr;
    event *Deadline = nullptr;
    callback Done;
  };

  event_base *Base = nullptr;
  std::uint64_t NextNumber = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<call>> Calls;
  /// Finished calls whose connection can't be freed inside its own callback.
  std::vector<evhttp_connection *> Finished;
  event *Cleanup = nullptr;

  static void onResponse(evhttp_request *Request, void *Argument);
  static void onDeadline(int, short, void *Argument);
  static void onCleanup(int, short, void *Argument);
  void finish(call &Call, const std::optional<http_response> &Response, bool InCallback);
  void freeFinished();
};

namespace {

timeval toTimeval(duration Length) {
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
  return {Micros / 1'000'000, Micros % 1'000'000};
}

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

/// Bytes of header fields, with separators.
std::size_t headerSize(const std::map<std::string, std::string> &Headers) {
  std::size_t Size = 0;
  for (const auto &[Name, Value] : Headers)
    Size += Name.size() + Value.size() + 4;
  return Size;
}

} // namespace

std::size_t wireSize(const outgoing_request &Request) {
  // Method, version, Host and Connection fields.
  constexpr std::size_t Fixed = 65;
  return Fixed + Request.Target.size() + headerSize(Request.Headers) + Request.Body.size();
}

std::size_t wireSize(const http_response &Response) {
  // Status line and the empty line.
  constexpr std::size_t Fixed = 19;
  return Fixed + headerSize(Response.Headers) + Response.Body.size();
}

void http_client::state::onResponse(evhttp_request *Request, void *Argument) {
  auto &Call = *static_cast<call *>(Argument);
  Call.Owner->finish(Call, readResponse(Request), true);
}

void http_client::state::onDeadline(int, short, void *Argument) {
  auto &Call = *static_cast<call *>(Argument);
  Call.Owner->finish(Call, std::nullopt, false);
}

void http_client::state::onCleanup(int, short, void *Argument) {
  static_cast<state *>(Argument)->freeFinished();
}

void http_client::state::finish(call &Call, const std::optional<http_response> &Response,
                                bool InCallback) {
  const auto Found = Calls.find(Call.Number);
  if (Found == Calls.end())
    return;
  // The call is removed before Done runs, because Done may send the next one.
  const std::unique_ptr<call> Owned = std::move(Found->second);
  Calls.erase(Found);
  event_free(Owned->Deadline);
  Finished.push_back(Owned->Connection);
  // A connection must not be freed inside its own callback. In all other cases it is freed at once,
  // so that it can't call back for a call that is gone.
  if (InCallback) {
    const timeval Soon{};
    event_add(Cleanup, &Soon);
  } else {
    freeFinished();
  }
  Owned->Done(Response);
}

void http_client::state::freeFinished() {
  for (evhttp_connection *Connection : std::exchange(Finished, {}))
    evhttp_connection_free(Connection);
}

http_client::http_client(event_loop &Loop) : State(std::make_unique<state>()) {
  State->Base = Loop.base();
  State->Cleanup = event_new(State->Base, -1, 0, state::onCleanup, State.get());
}

http_client::~http_client() {
  for (auto &[Number, Call] : State->Calls) {
    event_free(Call->Deadline);
    State->Finished.push_back(Call->Connection);
  }
  State->freeFinished();
  event_free(State->Cleanup);
}

void http_client::send(const outgoing_request &Call, callback Done) {
  auto New = std::make_unique<state::call>();
  New->Owner = State.get();
  New->Number = ++State->NextNumber;
  New->Done = std::move(Done);
  New->Connection = evhttp_connection_base_new(
      State->Base, nullptr, toString(Call.Server.Address).c_str(), Call.Server.Port);
  evhttp_connection_set_max_body_size(New->Connection, static_cast<std::int64_t>(Call.MaxResponse));
  evhttp_connection_set_max_headers_size(New->Connection, 16384);
  evhttp_connection_set_retries(New->Connection, 0);

  evhttp_request *Request = evhttp_request_new(state::onResponse, New.get());
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", toString(Call.Server).c_str());
  evhttp_add_header(Headers, "Connection", "close");
  for (const auto &[Name, Value] : Call.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(), Call.Body.size());

  New->Deadline = event_new(State->Base, -1, 0, state::onDeadline, New.get());
  const timeval Limit = toTimeval(Call.Limit);
  event_add(New->Deadline, &Limit);

  state::call &Added = *New;
  evhttp_connection *Connection = Added.Connection;
  State->Calls.emplace(Added.Number, std::move(New));
  // On failure libevent has already called back, which removed the call.
  evhttp_make_request(Connection, Request, Call.Method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                      Call.Target.c_str());
}

} // namespace briarpoint
