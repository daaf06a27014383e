#include "config/field_reader.h"

#include "config/nearest_name.h"

#include <algorithm>

namespace briarpoint {

field_reader::field_reader(const document_value &Value, std::string Path,
                           finding_collector &Findings)
    : Value(Value), Fields(std::get_if<document_value::table>(&Value.Content)),
      Path(std::move(Path)), Findings(Findings) {
  if (Fields == nullptr)
    Findings.add(Value, this->Path, "must be a table of fields");
}

void field_reader::requiredElements(std::string_view Name, const element_function &Read) {
  readElements(Name, Read, true);
}

void field_reader::optionalElements(std::string_view Name, const element_function &Read) {
  readElements(Name, Read, false);
}

bool field_reader::readElements(std::string_view Name, const element_function &Read,
                                bool Required) {
  const document_value *Field = find(Name, Required);
  if (Field == nullptr)
    return false;
  const auto *Array = std::get_if<document_value::array>(&Field->Content);
  if (Array == nullptr) {
    Findings.add(*Field, pathOf(Name), "must be an array");
    return false;
  }
  for (std::size_t I = 0; I < Array->size(); ++I)
    Read((*Array)[I], pathOf(Name) + "[" + std::to_string(I) + "]");
  return true;
}

bool field_reader::requiredValue(std::string_view Name, const element_function &Read) {
  const document_value *Field = find(Name, true);
  if (Field != nullptr)
    Read(*Field, pathOf(Name));
  return Field != nullptr;
}

bool field_reader::optionalValue(std::string_view Name, const element_function &Read) {
  const document_value *Field = find(Name, false);
  if (Field != nullptr)
    Read(*Field, pathOf(Name));
  return Field != nullptr;
}

void field_reader::report(std::string_view Name, std::string Message) {
  const document_value *Field = find(Name, false);
  Findings.add(Field == nullptr ? Value : *Field, pathOf(Name), std::move(Message));
}

void field_reader::finish() {
  if (Fields == nullptr)
    return;
  for (const document_field &Field : *Fields) {
    if (std::find(Known.begin(), Known.end(), Field.Name) != Known.end())
      continue;
    std::string Message = "is not a known field";
    if (const auto Nearest = nearestName(Field.Name, Known))
      Message.append("; did you mean \"").append(*Nearest).append("\"?");
    Findings.add(Field.Value, pathOf(Field.Name), std::move(Message));
  }
}

const document_value *field_reader::find(std::string_view Name, bool Required) {
  if (Fields == nullptr)
    return nullptr;
  if (std::find(Known.begin(), Known.end(), Name) == Known.end())
    Known.push_back(Name);
  const auto Found =
      std::find_if(Fields->begin(), Fields->end(),
                   [Name](const document_field &Field) { return Field.Name == Name; });
  if (Found != Fields->end())
    return &Found->Value;
  if (Required)
    Findings.add(Value, pathOf(Name), "is missing");
  return nullptr;
}

std::string field_reader::pathOf(std::string_view Name) const {
  return Path.empty() ? std::string(Name) : Path + "." + std::string(Name);
}

} // namespace briarpoint
