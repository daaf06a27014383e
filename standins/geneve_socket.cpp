#include "standins/geneve_socket.h"

#include "io/sockets.h"
#include "net/geneve.h"

namespace briarpoint {

namespace {

constexpr std::size_t BatchSize = 64;
constexpr std::size_t MaxPacketSize = 9216;

} // namespace

geneve_socket::geneve_socket(const endpoint &Local)
    : Socket(openUdpSocket(Local)), Incoming(BatchSize, MaxPacketSize),
      Outgoing(BatchSize, MaxGeneveHeaderSize, MaxPacketSize) {}

void geneve_socket::receive(const std::function<void(std::span<const std::byte>)> &Handler) {
  for (std::size_t Count = BatchSize; Count == BatchSize;) {
    Count = Incoming.receive(Socket.get());
    for (std::size_t I = 0; I < Count; ++I)
      Handler(Incoming.payload(I));
  }
}

void geneve_socket::send(const endpoint &To, std::uint32_t Vni, std::span<const std::byte> Packet) {
  if (Outgoing.full())
    flush();
  const bool IsV6 = !Packet.empty() && std::to_integer<unsigned>(Packet[0]) >> 4U == 6;
  const std::size_t HeaderSize = writeGeneveHeader(Outgoing.nextHeader(), Vni, IsV6, 0, {});
  Outgoing.push(To, HeaderSize, Packet, true);
}

void geneve_socket::flush() { Outgoing.flush(Socket.get()); }

} // namespace briarpoint
