#include "base/findings_error.h"
#include "forwarder/forwarder_settings.h"

#include <cstdint>

/// Parses the input as a settings file of the forwarder. Malformed input may only throw
/// findings_error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  try {
    parseForwarderSettings({reinterpret_cast<const char *>(Data), Size}, "input");
  } catch (const findings_error &) { // The input is malformed.
  }
  return 0;
}
