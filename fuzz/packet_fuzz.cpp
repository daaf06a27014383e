#include "net/packet_builder.h"
#include "net/packet_view.h"

#include <cstdint>
#include <cstdlib>

/// Parses the input as an IP packet. An accepted packet must lie within the input, and the RST
/// built for it must be well-formed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  packet_view Packet;
  const std::span<const std::byte> Input(reinterpret_cast<const std::byte *>(Data), Size);
  if (parsePacket(Input, Packet) != parse_error::None)
    return 0;
  if (Packet.Bytes.data() < Input.data() || Packet.Bytes.size() > Input.size())
    std::abort();
  if (!Packet.isTcp())
    return 0;
  packet_view Reset;
  if (parsePacket(buildRstToCaller(Packet).bytes(), Reset) != parse_error::None)
    std::abort();
  return 0;
}
