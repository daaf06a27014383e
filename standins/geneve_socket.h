#ifndef BRIARPOINT_STANDINS_GENEVE_SOCKET_H
#define BRIARPOINT_STANDINS_GENEVE_SOCKET_H

#include "io/file_descriptor.h"
#include "io/receive_batch.h"
#include "io/send_batch.h"

#include <functional>

namespace briarpoint {

/// UDP socket of a stand-in that receives payloads and sends IP packets in Geneve.
class geneve_socket {
public:
  /// \throws std::system_error if \p Local can't be bound.
  explicit geneve_socket(const endpoint &Local);

  int descriptor() const { return Socket.get(); }

  /// Calls \p Handler for every datagram in the receive queue; doesn't wait.
  void receive(const std::function<void(std::span<const std::byte>)> &Handler);

  /// Queues an IP packet to send in Geneve; sends the queue first if it is full.
  void send(const endpoint &To, std::uint32_t Vni, std::span<const std::byte> Packet);
  /// Sends the queued packets.
  void flush();

private:
  file_descriptor Socket;
  receive_batch Incoming;
  send_batch Outgoing;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_GENEVE_SOCKET_H
