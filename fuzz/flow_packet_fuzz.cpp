#include "platform/flow_packet_format.h"

#include <array>
#include <cstdint>
#include <cstdlib>

/// Parses the input as a caller's datagram, and writes what would be sent for it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const platform::flow_packet_format Format;
  const std::span<const std::byte> Datagram(reinterpret_cast<const std::byte *>(Data), Size);
  const std::optional<caller_packet> Packet = Format.parse(Datagram);
  if (!Packet)
    return 0;
  std::array<std::byte, 39> Head{};
  Format.writeHeader(Head, Datagram, target());
  Format.writeReset(Head, Packet->Flow, Packet->Acknowledged);
  // A caller's packet that opens a flow never ends it.
  if (Packet->Opens && Packet->Ends)
    std::abort();
  return Format.requestId(Datagram).size() > Size ? 1 : 0;
}
