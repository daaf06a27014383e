#ifndef BRIARPOINT_IO_RECEIVE_BATCH_H
#define BRIARPOINT_IO_RECEIVE_BATCH_H

#include "net/endpoint.h"

#include <sys/socket.h>

#include <cstddef>
#include <span>
#include <vector>

namespace briarpoint {

/// Receives UDP datagrams in batches with recvmmsg. All buffers are allocated once.
class receive_batch {
public:
  /// Holds up to \p Count datagrams of up to \p MaxSize bytes.
  receive_batch(std::size_t Count, std::size_t MaxSize);

  /// Receives the datagrams that are queued, without waiting, and returns their number. Returns 0
  /// on an error of the socket, such as a reported ICMP message.
  std::size_t receive(int Socket);

  /// Datagram \p Index of the last receive(). A datagram that was longer than MaxSize is empty.
  std::span<const std::byte> payload(std::size_t Index) const;
  /// Sender of datagram \p Index of the last receive().
  endpoint source(std::size_t Index) const;

  /// Returns whether \p Bytes lies within the buffers of this batch.
  bool owns(std::span<const std::byte> Bytes) const;

private:
  std::size_t MaxSize;
  std::vector<std::byte> Buffer;
  std::vector<sockaddr_storage> Sources;
  std::vector<iovec> Vectors;
  std::vector<mmsghdr> Headers;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_RECEIVE_BATCH_H
