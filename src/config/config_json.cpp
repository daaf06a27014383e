#include "config/config_json.h"

#include "config/config_decoder.h"
#include "config/document_check.h"
#include "config/json_encoding.h"
#include "config/json_reader.h"

namespace briarpoint {

std::string toJson(const configuration &Configuration) { return encode(Configuration).dump(); }

std::string toJson(const service_config &Service) { return encode(Service).dump(); }

std::string toJson(const patch &Patch) { return encode(Patch).dump(); }

configuration parseConfigurationJson(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  const document_value Document = readJson(Text, Source);
  return finishConfiguration(Document, decodeConfiguration(Document, Findings), Findings);
}

service_config parseServiceJson(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  service_config Service = decodeService(readJson(Text, Source), "", Findings);
  Findings.throwIfAny();
  return Service;
}

patch parsePatchJson(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  patch Patch = decodePatch(readJson(Text, Source), Findings);
  Findings.throwIfAny();
  return Patch;
}

} // namespace briarpoint
