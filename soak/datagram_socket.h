#ifndef BRIARPOINT_SOAK_DATAGRAM_SOCKET_H
#define BRIARPOINT_SOAK_DATAGRAM_SOCKET_H

#include "io/event_loop.h"
#include "io/event_pointer.h"
#include "io/file_descriptor.h"
#include "net/ipv4_endpoint.h"

#include <functional>
#include <span>

namespace briarpoint::soak {

/// A UDP socket on an event loop that calls a handler for each datagram. Closed by the destructor.
class datagram_socket {
public:
  using handler = std::function<void(std::span<const std::byte>)>;

  /// \throws std::system_error if \p Local can't be bound.
  datagram_socket(event_loop &Loop, const ipv4_endpoint &Local, handler Handler);

  /// Sends a datagram; errors are ignored.
  void send(const ipv4_endpoint &To, std::span<const std::byte> Datagram) const;

private:
  static void onReadable(int, short, void *Argument);

  file_descriptor Socket;
  handler Handler;
  event_pointer ReadEvent;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_DATAGRAM_SOCKET_H
