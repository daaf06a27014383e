#include "config/config_toml.h"

#include "config/config_decoder.h"
#include "config/document_check.h"
#include "config/toml_reader.h"

namespace briarpoint {

configuration parseConfigurationToml(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  const document_value Document = readToml(Text, Source);
  return finishConfiguration(Document, decodeConfiguration(Document, Findings), Findings);
}

patch parsePatchToml(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  patch Patch = decodePatch(readToml(Text, Source), Findings);
  Findings.throwIfAny();
  return Patch;
}

} // namespace briarpoint
