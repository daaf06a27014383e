#include "core/data/handover.h"
#include "net/geneve.h"

#include <array>
#include <cstdint>
#include <cstdlib>

/// Parses the input as a Geneve packet with a hand-over option. An accepted option must survive a
/// round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const std::optional<geneve_view> View =
      parseGeneve({reinterpret_cast<const std::byte *>(Data), Size});
  if (!View)
    return 0;
  const std::optional<handover> Handover = parseHandover(View->OptionType, View->OptionBody);
  if (!Handover)
    return 0;
  std::array<std::byte, MaxHandoverSize> Body{};
  const std::size_t BodySize = writeHandover(*Handover, Body);
  if (parseHandover(View->OptionType, {Body.data(), BodySize}) != Handover)
    std::abort();
  return 0;
}
