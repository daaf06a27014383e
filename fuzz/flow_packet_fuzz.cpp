#include "platform/flow_packet_format.h"

#include <array>
#include <cstdint>
#include <cstdlib>

/// Parses the input as a caller's datagram and writes the packets that a forwarder would send for
/// it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const platform::flow_packet_format Format;
  const std::span<const std::byte> Datagram(reinterpret_cast<const std::byte *>(Data), Size);
  const std::optional<caller_packet> Packet = Format.parse(Datagram);
  if (!Packet)
    return 0;
  // Host identity of 8 bytes and packet header of 31 bytes.
  std::array<std::byte, 39> Buffer{};
  Format.writeHeader(Buffer, Datagram, target());
  Format.writeReset(Buffer, Packet->Flow, Packet->Acknowledged);
  // A packet can't both open and end a flow.
  if (Packet->Opens && Packet->Ends)
    std::abort();
  return Format.requestId(Datagram).size() > Size ? 1 : 0;
}
