#include "base/findings_error.h"
#include "config/config_json.h"

#include <cstdint>
#include <cstdlib>

/// Parses the input as a patch and as a configuration. Accepted input must survive a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  try {
    const patch Patch = parsePatchJson(Text, "input");
    if (parsePatchJson(toJson(Patch), "copy") != Patch)
      std::abort();
  } catch (const findings_error &) { // The input is malformed.
  }
  try {
    const configuration Configuration = parseConfigurationJson(Text, "input");
    if (parseConfigurationJson(toJson(Configuration), "copy") != Configuration)
      std::abort();
  } catch (const findings_error &) { // The input is malformed.
  }
  return 0;
}
