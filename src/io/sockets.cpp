#include "io/sockets.h"

#include "io/socket_address.h"

#include <system_error>

namespace briarpoint {

namespace {

/// Socket buffer of UDP sockets in bytes: about 20 ms of full-size packets at 1 Gbit/s, so that
/// no packets are lost while a task waits for the processor.
constexpr int UdpBufferSize = 4 << 20;

file_descriptor openSocket(const endpoint &Local, int Type) {
  const socket_address Address = toSocketAddress(Local);
  file_descriptor Socket(socket(Address.get()->sa_family, Type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (Socket.get() < 0)
    throw std::system_error(errno, std::generic_category(), "socket");
  const int On = 1;
  // Without SO_REUSEADDR, a restarted server could not bind while connections of the earlier
  // process are in TIME_WAIT.
  if (Type == SOCK_STREAM)
    setsockopt(Socket.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (bind(Socket.get(), Address.get(), Address.Size) != 0)
    throw std::system_error(errno, std::generic_category(), "bind " + toString(Local));
  return Socket;
}

} // namespace

file_descriptor openUdpSocket(const endpoint &Local) {
  file_descriptor Socket = openSocket(Local, SOCK_DGRAM);
  // The kernel limits the size to net.core.rmem_max; a smaller buffer is no error.
  setsockopt(Socket.get(), SOL_SOCKET, SO_RCVBUF, &UdpBufferSize, sizeof(UdpBufferSize));
  setsockopt(Socket.get(), SOL_SOCKET, SO_SNDBUF, &UdpBufferSize, sizeof(UdpBufferSize));
  return Socket;
}

file_descriptor openTcpSocket(const endpoint &Local) { return openSocket(Local, SOCK_STREAM); }

} // namespace briarpoint
