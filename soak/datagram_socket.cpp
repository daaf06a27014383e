#include "soak/datagram_socket.h"

#include "io/socket_address.h"
#include "io/sockets.h"

#include <array>

namespace briarpoint::soak {

datagram_socket::datagram_socket(event_loop &Loop, const ipv4_endpoint &Local, handler Handler)
    : Socket(openUdpSocket(toEndpoint(Local))), Handler(std::move(Handler)),
      ReadEvent(event_new(Loop.base(), Socket.get(), EV_READ | EV_PERSIST, onReadable, this)) {
  event_add(ReadEvent.get(), nullptr);
}

void datagram_socket::send(const ipv4_endpoint &To, std::span<const std::byte> Datagram) const {
  const socket_address Address = toSocketAddress(toEndpoint(To));
  // A datagram that can't be sent counts as lost in the network.
  (void)sendto(Socket.get(), Datagram.data(), Datagram.size(), MSG_DONTWAIT, Address.get(),
               Address.Size);
}

void datagram_socket::onReadable(int, short, void *Argument) {
  const auto &Self = *static_cast<datagram_socket *>(Argument);
  std::array<std::byte, 2048> Buffer{};
  ssize_t Size = 0;
  while ((Size = recv(Self.Socket.get(), Buffer.data(), Buffer.size(), MSG_DONTWAIT)) >= 0)
    Self.Handler(std::span(Buffer).first(static_cast<std::size_t>(Size)));
}

} // namespace briarpoint::soak
