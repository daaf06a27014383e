#include "config/json_reader.h"

#include "config/document_builder.h"
#include "config/json_repair.h"

namespace briarpoint {

namespace {

document_value read(std::string_view Text, const std::string &Source,
                    document_builder::policy Policy) {
  document_builder Builder(Text, Source, Policy);
  nlohmann::json::sax_parse(Text, &Builder);
  return Builder.finish();
}

} // namespace

document_value readJson(std::string_view Text, const std::string &Source) {
  return read(Text, Source, document_builder::policy::Strict);
}

document_value readLenientJson(std::string_view Text, const std::string &Source) {
  try {
    return read(Text, Source, document_builder::policy::Lenient);
  } catch (const findings_error &) {
    return read(repairJson(Text), Source, document_builder::policy::Lenient);
  }
}

} // namespace briarpoint
