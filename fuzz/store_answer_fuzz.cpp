#include "base/findings_error.h"
#include "platform/http_object_api.h"
#include "platform/store_object_format.h"

#include <cstdint>

/// Parses the input as the value of the header Store-Era, and as a list answer and a watch answer
/// of the store in both encodings, and the objects in them. Malformed objects may only throw
/// findings_error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  using namespace briarpoint;
  const platform::store_object_format Format;
  const auto Read = [&](const stored_object &Object) {
    try {
      Format.parseRegistration(Object);
    } catch (const findings_error &) { // Malformed.
    }
    try {
      Format.parseConfiguration(Object);
    } catch (const findings_error &) { // Malformed.
    }
    try {
      Format.parseEvacuation(Object);
    } catch (const findings_error &) { // Malformed.
    }
  };
  platform::store_era_header Header;
  const http_answer OfEra{http_answer::outcome::Answered,
                          200,
                          {{"store-era", {reinterpret_cast<const char *>(Data), Size}}},
                          ""};
  const std::uint64_t Era = Header.read(OfEra);
  for (const char *Type : {"application/json", "application/msgpack"}) {
    const http_answer Answer{http_answer::outcome::Answered,
                             200,
                             {{"content-type", Type}},
                             {reinterpret_cast<const char *>(Data), Size}};
    for (const object_parts &Parts :
         {Format.registrationParts(), Format.configurationParts(), Format.evacuationParts()}) {
      for (const stored_object &Object : platform::parseListAnswer(Answer, Parts, Era).Objects)
        Read(Object);
      for (const object_change &Change : platform::parseWatchAnswer(Answer, Parts, Era).Changes)
        Read(Change.Object);
    }
  }
  return 0;
}
