#ifndef BRIARPOINT_IO_SEND_BATCH_H
#define BRIARPOINT_IO_SEND_BATCH_H

#include "io/socket_address.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace briarpoint {

/// Collects UDP datagrams and sends them in batches with sendmmsg. Each datagram consists of a
/// header that is written in place and a body.
class send_batch {
public:
  /// Holds up to \p Count datagrams with headers of up to \p MaxHeaderSize and copied bodies of up
  /// to \p MaxBodySize bytes.
  send_batch(std::size_t Count, std::size_t MaxHeaderSize, std::size_t MaxBodySize);

  bool full() const { return Used == Headers.size(); }
  bool empty() const { return Used == 0; }

  /// Buffer for the header of the next datagram; valid until push(). Must not be called when full.
  std::span<std::byte> nextHeader();

  /// Adds a datagram whose header is the first \p HeaderSize bytes of nextHeader(). If \p CopyBody
  /// is false, \p Body must stay valid until flush(). Returns false if a body to copy is too long.
  bool push(const endpoint &To, std::size_t HeaderSize, std::span<const std::byte> Body,
            bool CopyBody);

  /// Sends all datagrams and empties the batch. Datagrams that the kernel refuses are dropped.
  /// Returns the number of datagrams that were sent.
  std::size_t flush(int Socket);

private:
  std::size_t MaxHeaderSize;
  std::size_t MaxBodySize;
  std::size_t Used = 0;
  std::vector<std::byte> HeaderBuffer;
  std::vector<std::byte> BodyBuffer;
  std::vector<socket_address> Destinations;
  std::vector<iovec> Vectors;
  std::vector<mmsghdr> Headers;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_SEND_BATCH_H
