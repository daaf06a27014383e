#include "io/receive_batch.h"

#include "io/socket_address.h"

#include <functional>

namespace briarpoint {

receive_batch::receive_batch(std::size_t Count, std::size_t MaxSize)
    : MaxSize(MaxSize), Buffer(Count * MaxSize), Sources(Count), Vectors(Count), Headers(Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    Vectors[I] = {Buffer.data() + I * MaxSize, MaxSize};
    Headers[I].msg_hdr.msg_iov = &Vectors[I];
    Headers[I].msg_hdr.msg_iovlen = 1;
    Headers[I].msg_hdr.msg_name = &Sources[I];
  }
}

std::size_t receive_batch::receive(int Socket) {
  for (mmsghdr &Header : Headers)
    Header.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
  const int Received = recvmmsg(Socket, Headers.data(), static_cast<unsigned>(Headers.size()),
                                MSG_DONTWAIT, nullptr);
  return Received < 0 ? 0 : static_cast<std::size_t>(Received);
}

std::span<const std::byte> receive_batch::payload(std::size_t Index) const {
  const bool Truncated = (Headers[Index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
  return {Buffer.data() + Index * MaxSize, Truncated ? 0 : Headers[Index].msg_len};
}

endpoint receive_batch::source(std::size_t Index) const { return toEndpoint(Sources[Index]); }

bool receive_batch::owns(std::span<const std::byte> Bytes) const {
  // Unlike <, std::less is a total order also of pointers into unrelated objects.
  const std::less<> Less;
  return !Less(Bytes.data(), Buffer.data()) && Less(Bytes.data(), Buffer.data() + Buffer.size());
}

} // namespace briarpoint
