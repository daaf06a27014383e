#include "forward/target_state_message.h"

#include <cstdint>
#include <cstdlib>

/// Parses the input as a datagram between forwarders about dead and failing targets. A message that
/// is accepted must be written back to the same bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  const std::optional<target_state_message> Message = parseTargetStateMessage(Bytes);
  if (Message && writeTargetStateMessage(*Message) != Bytes)
    std::abort();
  return 0;
}
