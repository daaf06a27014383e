#include "standins/http_service.h"

#include <event2/buffer.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>

#include <netinet/in.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <set>
#include <stdexcept>

namespace briarpoint::standins {

namespace {

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Text;
}

int addHeader(evhtp_kv_t *Pair, void *Map) {
  (*static_cast<std::map<std::string, std::string> *>(Map))[lowerCase(Pair->key)] = Pair->val;
  return 0;
}

int addQuery(evhtp_kv_t *Pair, void *Map) {
  (*static_cast<std::map<std::string, std::string> *>(Map))[Pair->key] =
      Pair->val == nullptr ? "" : Pair->val;
  return 0;
}

std::string methodName(htp_method Method) {
  switch (Method) {
  case htp_method_GET:
    return "GET";
  case htp_method_PUT:
    return "PUT";
  case htp_method_POST:
    return "POST";
  case htp_method_DELETE:
    return "DELETE";
  default:
    return "";
  }
}

/// libevhtp stores hooks of all signatures as one type and casts them back. The cast through a
/// pointer to void avoids the compiler's warning about incompatible function types.
template <typename T> evhtp_hook toHook(T *Function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void *>(Function));
}

std::string readBody(evbuffer *Buffer) {
  std::string Body(evbuffer_get_length(Buffer), '\0');
  evbuffer_copyout(Buffer, Body.data(), Body.size());
  return Body;
}

} // namespace

struct http_service::state {
  handler Handler;
  evhtp_t *Server = nullptr;
  request_id LastId = 0;
  std::map<request_id, evhtp_request_t *> Waiting;
  std::set<evhtp_connection_t *> Connections;

  void receive(evhtp_request_t *Message) {
    request Request;
    Request.Id = ++LastId;
    Request.Method = methodName(Message->method);
    Request.Path = Message->uri->path->full;
    if (Message->uri->query != nullptr)
      evhtp_kvs_for_each(Message->uri->query, addQuery, &Request.Query);
    evhtp_kvs_for_each(Message->headers_in, addHeader, &Request.Headers);
    Request.Body = readBody(Message->buffer_in);
    Waiting[Request.Id] = Message;
    Handler(Request);
  }

  void removeWaiting(const evhtp_request_t *Message) {
    std::erase_if(Waiting, [Message](const auto &Entry) { return Entry.second == Message; });
  }

  static evhtp_res onRequestEnd(evhtp_request_t *Message, void *Self) {
    static_cast<state *>(Self)->removeWaiting(Message);
    return EVHTP_RES_OK;
  }

  static evhtp_res onConnectionEnd(evhtp_connection_t *Connection, void *Self) {
    static_cast<state *>(Self)->Connections.erase(Connection);
    return EVHTP_RES_OK;
  }

  static evhtp_res onConnection(evhtp_connection_t *Connection, void *Self) {
    static_cast<state *>(Self)->Connections.insert(Connection);
    evhtp_connection_set_hook(Connection, evhtp_hook_on_request_fini, toHook(&onRequestEnd), Self);
    evhtp_connection_set_hook(Connection, evhtp_hook_on_connection_fini, toHook(&onConnectionEnd),
                              Self);
    return EVHTP_RES_OK;
  }
};

http_service::http_service(event_base *Base, const endpoint &Listen, handler Handler)
    : State(std::make_unique<state>()) {
  State->Handler = std::move(Handler);
  State->Server = evhtp_new(Base, nullptr);
  evhtp_set_gencb(
      State->Server,
      [](evhtp_request_t *Message, void *Self) { static_cast<state *>(Self)->receive(Message); },
      State.get());
  evhtp_set_post_accept_cb(State->Server, &state::onConnection, State.get());
  const std::string Address = (Listen.Address.IsV6 ? "ipv6:" : "ipv4:") + toString(Listen.Address);
  constexpr int Backlog = 1024;
  if (evhtp_bind_socket(State->Server, Address.c_str(), Listen.Port, Backlog) != 0) {
    evhtp_free(State->Server);
    throw std::runtime_error("can't listen on " + toString(Listen));
  }
}

http_service::~http_service() {
  evhtp_unbind_socket(State->Server);
  while (!State->Connections.empty())
    evhtp_connection_free(*State->Connections.begin());
  evhtp_free(State->Server);
}

endpoint http_service::address() const {
  sockaddr_storage Address{};
  socklen_t Size = sizeof(Address);
  getsockname(evconnlistener_get_fd(State->Server->server), reinterpret_cast<sockaddr *>(&Address),
              &Size);
  endpoint Endpoint;
  if (Address.ss_family == AF_INET6) {
    sockaddr_in6 V6{};
    std::memcpy(&V6, &Address, sizeof(V6));
    Endpoint.Address.IsV6 = true;
    std::memcpy(Endpoint.Address.Bytes.data(), &V6.sin6_addr, 16);
    Endpoint.Port = ntohs(V6.sin6_port);
  } else {
    sockaddr_in V4{};
    std::memcpy(&V4, &Address, sizeof(V4));
    std::memcpy(Endpoint.Address.Bytes.data(), &V4.sin_addr, 4);
    Endpoint.Port = ntohs(V4.sin_port);
  }
  return Endpoint;
}

void http_service::answer(request_id Id, const response &Response) {
  const auto Found = State->Waiting.find(Id);
  if (Found == State->Waiting.end())
    return;
  evhtp_request_t *Message = Found->second;
  State->Waiting.erase(Found);
  for (const auto &[Name, Value] : Response.Headers)
    evhtp_headers_add_header(Message->headers_out,
                             evhtp_header_new(Name.c_str(), Value.c_str(), 1, 1));
  evbuffer_add(Message->buffer_out, Response.Body.data(), Response.Body.size());
  evhtp_send_reply(Message, Response.Status);
}

bool http_service::isWaiting(request_id Id) const { return State->Waiting.contains(Id); }

} // namespace briarpoint::standins
