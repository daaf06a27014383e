#include "io/send_batch.h"

#include <cerrno>
#include <cstring>

namespace briarpoint {

send_batch::send_batch(std::size_t Count, std::size_t MaxHeaderSize, std::size_t MaxBodySize)
    : MaxHeaderSize(MaxHeaderSize), MaxBodySize(MaxBodySize), HeaderBuffer(Count * MaxHeaderSize),
      BodyBuffer(Count * MaxBodySize), Destinations(Count), Vectors(Count * 2), Headers(Count) {}

std::span<std::byte> send_batch::nextHeader() {
  return {HeaderBuffer.data() + Used * MaxHeaderSize, MaxHeaderSize};
}

bool send_batch::push(const endpoint &To, std::size_t HeaderSize, std::span<const std::byte> Body,
                      bool CopyBody) {
  if (CopyBody) {
    if (Body.size() > MaxBodySize)
      return false;
    std::byte *const Copy = BodyBuffer.data() + Used * MaxBodySize;
    std::memcpy(Copy, Body.data(), Body.size());
    Body = {Copy, Body.size()};
  }
  Destinations[Used] = toSocketAddress(To);
  iovec *const Parts = &Vectors[Used * 2];
  Parts[0] = {HeaderBuffer.data() + Used * MaxHeaderSize, HeaderSize};
  // sendmmsg doesn't write to the body.
  Parts[1] = {const_cast<std::byte *>(Body.data()), Body.size()};
  msghdr &Header = Headers[Used].msg_hdr;
  Header = {};
  Header.msg_name = Destinations[Used].get();
  Header.msg_namelen = Destinations[Used].Size;
  Header.msg_iov = Parts;
  Header.msg_iovlen = 2;
  ++Used;
  return true;
}

std::size_t send_batch::flush(int Socket) {
  std::size_t Sent = 0;
  std::size_t Next = 0;
  while (Next < Used) {
    const int Result = sendmmsg(Socket, &Headers[Next], static_cast<unsigned>(Used - Next), 0);
    if (Result > 0) {
      Sent += static_cast<std::size_t>(Result);
      Next += static_cast<std::size_t>(Result);
    } else if (errno != EINTR) {
      // The kernel refused the first datagram, for example because its socket buffer is full, or to
      // report an ICMP message about an earlier datagram to a port without a listener.
      ++Next;
    }
  }
  Used = 0;
  return Sent;
}

} // namespace briarpoint
