#ifndef BRIARPOINT_IO_SOCKET_ADDRESS_H
#define BRIARPOINT_IO_SOCKET_ADDRESS_H

#include "net/endpoint.h"

#include <sys/socket.h>

namespace briarpoint {

/// An endpoint in the form of the socket API.
struct socket_address {
  sockaddr_storage Storage{};
  socklen_t Size = 0;

  const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&Storage); }
  sockaddr *get() { return reinterpret_cast<sockaddr *>(&Storage); }
};

socket_address toSocketAddress(const endpoint &Endpoint);

/// Returns the endpoint of an IPv4 or IPv6 address; an empty one for any other family.
endpoint toEndpoint(const sockaddr_storage &Storage);

/// Returns the local endpoint of a bound socket.
/// \throws std::system_error if \p Descriptor is not a bound socket.
endpoint localEndpoint(int Descriptor);

} // namespace briarpoint

#endif // BRIARPOINT_IO_SOCKET_ADDRESS_H
