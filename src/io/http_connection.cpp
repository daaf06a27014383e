#include "io/http_connection.h"

#include "io/event_pointer.h"
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

#include <algorithm>
#include <cctype>
#include <utility>

namespace briarpoint {

namespace {

struct connection_deleter {
  void operator()(evhttp_connection *Connection) const { evhttp_connection_free(Connection); }
};

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Text;
}

/// Moves the content out of a buffer. Each part of the buffer is freed before the next one is
/// copied, so that a large content isn't in memory twice.
std::string takeContent(evbuffer *Buffer) {
  std::string Content;
  Content.reserve(evbuffer_get_length(Buffer));
  while (const std::size_t Size = evbuffer_get_contiguous_space(Buffer)) {
    Content.append(
        reinterpret_cast<const char *>(evbuffer_pullup(Buffer, static_cast<ev_ssize_t>(Size))),
        Size);
    evbuffer_drain(Buffer, Size);
  }
  return Content;
}

http_answer readAnswer(evhttp_request *Request) {
  http_answer Answer;
  // libevent passes a request with status 0 if no connection could be established, and a null
  // pointer for every later failure.
  if (Request == nullptr)
    return Answer;
  Answer.Status = evhttp_request_get_response_code(Request);
  if (Answer.Status == 0) {
    Answer.Outcome = http_answer::outcome::NotSent;
    return Answer;
  }
  Answer.Outcome = http_answer::outcome::Answered;
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Header = Headers->tqh_first; Header != nullptr;
       Header = Header->next.tqe_next)
    Answer.Headers[lowerCase(Header->key)] = Header->value;
  Answer.Body = takeContent(evhttp_request_get_input_buffer(Request));
  return Answer;
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
  event_base *Base;
  http_connection_settings Settings;
  std::unique_ptr<evhttp_connection, connection_deleter> Connection;
  endpoint Server;
  /// Ends the request at its time limit.
  event_pointer RequestTimer;
  /// Ends the request if no connection is established within ConnectTimeout.
  event_pointer ConnectTimer;
  /// Calls Done outside of libevent's own callbacks, in which a connection can't be freed.
  event_pointer Delivery;
  callback Done;
  http_answer Answer;
  /// The request in progress, which libevent owns; nullptr if there is none.
  evhttp_request *Request = nullptr;
  /// The body of the response is larger than the request allows.
  bool TooLarge = false;

  state(event_base *Base, const http_connection_settings &Settings)
      : Base(Base), Settings(Settings), RequestTimer(event_new(Base, -1, 0, onTimeout, this)),
        ConnectTimer(event_new(Base, -1, 0, onConnectTimeout, this)),
        Delivery(event_new(Base, -1, 0, onDelivery, this)) {}

  static void onResponse(evhttp_request *Request, void *Argument);
  /// libevent calls it before onResponse().
  static void onError(evhttp_request_error Error, void *Argument);
  static void onTimeout(int, short, void *Argument);
  static void onConnectTimeout(int, short, void *Argument);
  static void onDelivery(int, short, void *Argument);

  int descriptor() const {
    bufferevent *Buffer =
        Connection ? evhttp_connection_get_bufferevent(Connection.get()) : nullptr;
    return Buffer == nullptr ? -1 : bufferevent_getfd(Buffer);
  }
  void connect(const outgoing_request &Call);
  void enableKeepalive() const;
  void finish(http_answer Result);
};

void http_connection::state::onResponse(evhttp_request *Request, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  http_answer Result = readAnswer(Request);
  if (Self.TooLarge)
    Result.Outcome = http_answer::outcome::TooLarge;
  Self.finish(std::move(Result));
}

void http_connection::state::onError(evhttp_request_error Error, void *Argument) {
  if (Error == EVREQ_HTTP_DATA_TOO_LONG)
    static_cast<state *>(Argument)->TooLarge = true;
}

void http_connection::state::onTimeout(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  Self.Request = nullptr;
  Self.Connection.reset();
  Self.finish({});
}

void http_connection::state::onConnectTimeout(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  sockaddr_storage Peer{};
  socklen_t Size = sizeof(Peer);
  if (getpeername(Self.descriptor(), reinterpret_cast<sockaddr *>(&Peer), &Size) != 0)
    onTimeout(-1, 0, Argument);
}

void http_connection::state::onDelivery(int, short, void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  if (Self.Answer.Outcome != http_answer::outcome::Answered)
    Self.Connection.reset();
  // The callback may destroy this object or send the next request.
  const callback Done = std::exchange(Self.Done, nullptr);
  const http_answer Result = std::exchange(Self.Answer, {});
  if (Done)
    Done(Result);
}

void http_connection::state::finish(http_answer Result) {
  event_del(RequestTimer.get());
  event_del(ConnectTimer.get());
  Request = nullptr;
  Answer = std::move(Result);
  event_active(Delivery.get(), EV_TIMEOUT, 0);
}

void http_connection::state::connect(const outgoing_request &Call) {
  if (Connection && Server == Call.Server)
    return;
  Server = Call.Server;
  Connection.reset(
      evhttp_connection_base_new(Base, nullptr, toString(Server.Address).c_str(), Server.Port));
  evhttp_connection_set_max_headers_size(Connection.get(), 16384);
  evhttp_connection_set_retries(Connection.get(), 0);
}

void http_connection::state::enableKeepalive() const {
  const int Socket = descriptor();
  if (Socket < 0)
    return;
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  const int Seconds = Settings.KeepaliveSeconds;
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof(Seconds));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &Seconds, sizeof(Seconds));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &Settings.KeepaliveProbes,
             sizeof(Settings.KeepaliveProbes));
  // Keepalive probes aren't sent while data is unacknowledged; TCP_USER_TIMEOUT covers that case.
  const int Milliseconds = Seconds * (Settings.KeepaliveProbes + 1) * 1000;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds, sizeof(Milliseconds));
}

http_connection::http_connection(event_base *Base, const http_connection_settings &Settings)
    : State(std::make_unique<state>(Base, Settings)) {}

http_connection::~http_connection() { cancel(); }

std::size_t http_connection::receivedBytes() const {
  bufferevent *Buffer = State->Done && State->Connection
                            ? evhttp_connection_get_bufferevent(State->Connection.get())
                            : nullptr;
  if (Buffer == nullptr)
    return 0;
  // libevent moves the chunks of a body to the request, and leaves a body of known length in the
  // connection's buffer until it is complete.
  const std::size_t Moved =
      State->Request == nullptr
          ? 0
          : evbuffer_get_length(evhttp_request_get_input_buffer(State->Request));
  return Moved + evbuffer_get_length(bufferevent_get_input(Buffer));
}

void http_connection::cancel() {
  event_del(State->RequestTimer.get());
  event_del(State->ConnectTimer.get());
  event_del(State->Delivery.get());
  State->Request = nullptr;
  State->Connection.reset();
  State->Done = nullptr;
  State->Answer = {};
}

void http_connection::send(const outgoing_request &Call, callback Done) {
  state &Self = *State;
  Self.Done = std::move(Done);
  Self.connect(Call);
  evhttp_connection_set_max_body_size(Self.Connection.get(),
                                      static_cast<std::int64_t>(Call.MaxResponseSize));

  evhttp_request *Request = evhttp_request_new(state::onResponse, &Self);
  Self.Request = Request;
  Self.TooLarge = false;
  evhttp_request_set_error_cb(Request, state::onError);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", toString(Call.Server).c_str());
  for (const auto &[Name, Value] : Call.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(), Call.Body.size());

  const timeval Limit = toTimeval(Call.Limit);
  event_add(Self.RequestTimer.get(), &Limit);
  const timeval Connect = toTimeval(Self.Settings.ConnectTimeout);
  event_add(Self.ConnectTimer.get(), &Connect);
  if (evhttp_make_request(Self.Connection.get(), Request, toCommand(Call.Method),
                          Call.Target.c_str()) == 0) {
    Self.enableKeepalive();
    return;
  }
  // libevent freed the request without calling onResponse().
  http_answer Failed;
  Failed.Outcome = http_answer::outcome::NotSent;
  Self.finish(Failed);
}

} // namespace briarpoint
