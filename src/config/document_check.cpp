#include "config/document_check.h"

#include "config/validate.h"

#include <algorithm>
#include <charconv>

namespace briarpoint {

namespace {

/// Returns the field or element of \p Value with this name or index; null if there is none.
const document_value *findChild(const document_value &Value, std::string_view NameOrIndex) {
  if (const auto *Array = std::get_if<document_value::array>(&Value.Content)) {
    std::size_t Index = 0;
    std::from_chars(NameOrIndex.data(), NameOrIndex.data() + NameOrIndex.size(), Index);
    return Index < Array->size() ? &(*Array)[Index] : nullptr;
  }
  if (const auto *Table = std::get_if<document_value::table>(&Value.Content)) {
    for (const document_field &Field : *Table)
      if (Field.Name == NameOrIndex)
        return &Field.Value;
  }
  return nullptr;
}

} // namespace

const document_value &locate(const document_value &Document, std::string_view Path) {
  const document_value *Found = &Document;
  while (!Path.empty()) {
    const std::size_t End = std::min(Path.find_first_of(".[]"), Path.size());
    if (End != 0) {
      const document_value *Next = findChild(*Found, Path.substr(0, End));
      if (Next == nullptr)
        break;
      Found = Next;
    }
    Path.remove_prefix(std::min(End + 1, Path.size()));
  }
  return *Found;
}

configuration finishConfiguration(const document_value &Document, configuration Decoded,
                                  finding_collector &Findings) {
  Findings.throwIfAny();
  for (finding &Finding : validate(Decoded))
    Findings.add(locate(Document, Finding.Path), Finding.Path, Finding.Message);
  Findings.throwIfAny();
  std::sort(Decoded.Services.begin(), Decoded.Services.end(),
            [](const service_config &A, const service_config &B) { return A.Name < B.Name; });
  return Decoded;
}

} // namespace briarpoint
