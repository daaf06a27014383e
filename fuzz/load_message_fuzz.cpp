#include "forward/load_message.h"

#include <cstdint>
#include <cstdlib>

/// Parses the input as a load message between forwarders. A message that is accepted must be
/// written back to the same bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  const std::optional<load_report> Report = parseLoadReport(Bytes);
  if (Report && writeLoadReport(*Report) != Bytes)
    std::abort();
  const std::optional<load_summary> Summary = parseLoadSummary(Bytes);
  if (Summary && writeLoadSummary(*Summary) != Bytes)
    std::abort();
  return 0;
}
