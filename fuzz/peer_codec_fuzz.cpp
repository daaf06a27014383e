#include "base/findings_error.h"
#include "peer/peer_codec.h"

#include <cstdint>
#include <cstdlib>

/// Decodes the input as a message between balancers. Accepted input must survive a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  try {
    const peer_message Message = decodePeerMessage({reinterpret_cast<const char *>(Data), Size});
    if (decodePeerMessage(encodePeerMessage(Message)) != Message)
      std::abort();
  } catch (const findings_error &) { // The input is malformed.
  }
  return 0;
}
