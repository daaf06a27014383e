#include "config/json_reader.h"

#include "config/document_builder.h"
#include "config/json_repair.h"
#include "config/part_builder.h"

namespace briarpoint {

document_value readJson(std::string_view Text, const std::string &Source) {
  document_builder Builder(Text, Source);
  nlohmann::json::sax_parse(Text, &Builder);
  return Builder.finish();
}

document_value readJsonParts(std::string_view Text, const std::string &Source,
                             const document_parts &Parts, element_receiver *Receiver) {
  const auto Read = [&](std::string_view Content) {
    if (Receiver != nullptr)
      Receiver->begin();
    part_builder Builder(Content, Source, Parts, Receiver);
    nlohmann::json::sax_parse(Content, &Builder);
    return Builder.finish();
  };
  try {
    return Read(Text);
  } catch (const findings_error &) {
    return Read(repairJson(Text));
  }
}

} // namespace briarpoint
