#include "standins/udp_port.h"

#include "io/sockets.h"
#include "net/geneve.h"

namespace briarpoint {

namespace {

constexpr std::size_t BatchSize = 64;
constexpr std::size_t MaxPacket = 9216;

} // namespace

udp_port::udp_port(const endpoint &Local)
    : Socket(openUdpSocket(Local)), Incoming(BatchSize, MaxPacket),
      Outgoing(BatchSize, MaxGeneveHeaderSize, MaxPacket) {}

void udp_port::receive(const std::function<void(std::span<const std::byte>)> &Handler) {
  for (std::size_t Count = BatchSize; Count == BatchSize;) {
    Count = Incoming.receive(Socket.get());
    for (std::size_t I = 0; I < Count; ++I)
      Handler(Incoming.payload(I));
  }
}

void udp_port::send(const endpoint &To, std::uint32_t Vni, std::span<const std::byte> Packet) {
  if (Outgoing.full())
    flush();
  const bool IsV6 = !Packet.empty() && std::to_integer<unsigned>(Packet[0]) >> 4U == 6;
  const std::size_t HeaderSize = writeGeneveHeader(Outgoing.nextHeader(), Vni, IsV6, 0, {});
  Outgoing.push(To, HeaderSize, Packet, true);
}

void udp_port::flush() { Outgoing.flush(Socket.get()); }

} // namespace briarpoint
