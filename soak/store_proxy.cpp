#include "soak/store_proxy.h"

#include "io/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <list>
#include <stdexcept>

namespace briarpoint::soak {

namespace {

struct bufferevent_deleter {
  void operator()(bufferevent *Buffer) const { bufferevent_free(Buffer); }
};
struct listener_deleter {
  void operator()(evconnlistener *Listener) const { evconnlistener_free(Listener); }
};

} // namespace

struct store_proxy::state {
  /// The connections to the client and to the server of one proxied connection.
  struct connection_pair {
    state *Owner = nullptr;
    std::list<connection_pair>::iterator Position;
    std::unique_ptr<bufferevent, bufferevent_deleter> Client;
    std::unique_ptr<bufferevent, bufferevent_deleter> Server;
  };

  event_loop &Loop;
  socket_address Store;
  proxy_fault Fault = proxy_fault::None;
  std::list<connection_pair> Connections;
  std::unique_ptr<evconnlistener, listener_deleter> Listener;

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *, int, void *Argument);
  static void onRead(bufferevent *From, void *Argument);
  static void onEvent(bufferevent *, short What, void *Argument);
};

void store_proxy::state::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
                                  void *Argument) {
  auto &Self = *static_cast<state *>(Argument);
  if (Self.Fault == proxy_fault::Reset) {
    evutil_closesocket(Socket);
    return;
  }
  const auto Connection = Self.Connections.emplace(Self.Connections.end());
  Connection->Owner = &Self;
  Connection->Position = Connection;
  Connection->Client.reset(bufferevent_socket_new(Self.Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE));
  Connection->Server.reset(bufferevent_socket_new(Self.Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  for (bufferevent *Side : {Connection->Client.get(), Connection->Server.get()}) {
    bufferevent_setcb(Side, onRead, nullptr, onEvent, &*Connection);
    bufferevent_enable(Side, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(Connection->Server.get(), Self.Store.get(),
                             static_cast<int>(Self.Store.Size));
}

void store_proxy::state::onRead(bufferevent *From, void *Argument) {
  auto &Connection = *static_cast<connection_pair *>(Argument);
  const bool IsAnswer = From == Connection.Server.get();
  const proxy_fault Fault = Connection.Owner->Fault;
  evbuffer *Bytes = bufferevent_get_input(From);
  if (Fault == proxy_fault::DiscardAll || (Fault == proxy_fault::DiscardAnswers && IsAnswer))
    evbuffer_drain(Bytes, evbuffer_get_length(Bytes));
  else
    bufferevent_write_buffer((IsAnswer ? Connection.Client : Connection.Server).get(), Bytes);
}

void store_proxy::state::onEvent(bufferevent *, short What, void *Argument) {
  auto &Connection = *static_cast<connection_pair *>(Argument);
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    Connection.Owner->Connections.erase(Connection.Position);
}

store_proxy::store_proxy(event_loop &Loop, const endpoint &Local, const endpoint &Store)
    : State(
          std::make_unique<state>(state{Loop, toSocketAddress(Store), proxy_fault::None, {}, {}})) {
  const socket_address Address = toSocketAddress(Local);
  State->Listener.reset(evconnlistener_new_bind(Loop.base(), state::onAccept, State.get(),
                                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                                Address.get(), static_cast<int>(Address.Size)));
  if (!State->Listener)
    throw std::runtime_error("can't listen on " + toString(Local));
}

store_proxy::~store_proxy() = default;

void store_proxy::setFault(proxy_fault Fault) {
  State->Fault = Fault;
  if (Fault == proxy_fault::Reset)
    endConnections();
}

void store_proxy::endConnections() { State->Connections.clear(); }

} // namespace briarpoint::soak
