#include "config/config_text.h"

#include "config/config_decoder.h"
#include "config/config_json.h"
#include "config/config_toml.h"
#include "config/json_reader.h"
#include "config/toml_reader.h"

namespace briarpoint {

configuration parseConfigurationText(std::string_view Text, const std::string &FileName) {
  return FileName.ends_with(".toml") ? parseConfigurationToml(Text, FileName)
                                     : parseConfigurationJson(Text, FileName);
}

patch parsePatchText(std::string_view Text, const std::string &FileName,
                     const patch_header &Header) {
  finding_collector Findings(FileName);
  const document_value Document =
      FileName.ends_with(".toml") ? readToml(Text, FileName) : readJson(Text, FileName);
  patch Patch = decodePatch(Document, Findings, Header);
  Findings.throwIfAny();
  return Patch;
}

} // namespace briarpoint
