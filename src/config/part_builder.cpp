#include "config/part_builder.h"

#include "config/json_syntax_finding.h"

#include <algorithm>

namespace briarpoint {

bool part_builder::parse_error(std::size_t Position, const std::string &LastToken,
                               const nlohmann::json::exception & /*Error*/) {
  Findings.push_back(jsonSyntaxFinding(Source, Text, Position, LastToken));
  return false;
}

document_value part_builder::finish() {
  if (!Findings.empty())
    throw findings_error(std::move(Findings));
  return std::move(Root);
}

const document_parts *part_builder::nextParts() const {
  if (Open.empty())
    return &Parts;
  if (Dropped)
    return nullptr;
  const open_value &Parent = Open.back();
  if (std::holds_alternative<document_value::array>(Parent.Value.Content))
    return Parent.Parts->Elements.empty() ? nullptr : &Parent.Parts->Elements.front();
  return Parent.Field;
}

bool part_builder::name(std::string_view Name) {
  if (SkippedLevels > 0 || Dropped)
    return true;
  open_value &Parent = Open.back();
  const auto &Fields = Parent.Parts->Fields;
  const auto &Read = std::get<document_value::table>(Parent.Value.Content);
  const auto Found = std::find_if(Fields.begin(), Fields.end(),
                                  [&](const document_parts &Part) { return Part.Name == Name; });
  const bool Repeated = std::any_of(
      Read.begin(), Read.end(), [&](const document_field &Field) { return Field.Name == Name; });
  Parent.Field = Found == Fields.end() || Repeated ? nullptr : &*Found;
  return true;
}

bool part_builder::text(std::string_view Value) {
  if (!isNextRead())
    return true;
  const std::size_t MaxSize = nextParts()->MaxTextSize;
  if (Value.size() <= MaxSize)
    return add(std::string(Value));
  return add(std::string(Value.substr(0, MaxSize)) + "...");
}

bool part_builder::add(document_value Value) {
  if (isNextRead())
    attach(std::move(Value));
  return true;
}

bool part_builder::open(decltype(document_value::Content) Content) {
  const document_parts *Next = SkippedLevels == 0 ? nextParts() : nullptr;
  if (Next == nullptr) {
    ++SkippedLevels;
    return true;
  }
  if (Next->MaxMemory != document_parts::Unlimited && LimitedIndex == None) {
    LimitedIndex = Open.size();
    Memory = 0;
  }
  Open.push_back({Next, document_value{std::move(Content)}});
  return true;
}

bool part_builder::close() {
  if (SkippedLevels > 0) {
    --SkippedLevels;
    return true;
  }
  open_value Closed = std::move(Open.back());
  Open.pop_back();
  if (Open.size() == LimitedIndex) {
    LimitedIndex = None;
    if (Dropped)
      Defect = "a value needs more than " + std::to_string(Closed.Parts->MaxMemory) +
               " bytes of memory for the parts that are read";
    Dropped = false;
  }
  attach(std::move(Closed.Value));
  return true;
}

void part_builder::attach(document_value Value) {
  if (Open.empty()) {
    Root = std::move(Value);
    return;
  }
  countMemory(Value);
  if (Dropped)
    return;
  open_value &Parent = Open.back();
  auto *Elements = std::get_if<document_value::array>(&Parent.Value.Content);
  if (Elements == nullptr) {
    std::get<document_value::table>(Parent.Value.Content)
        .push_back({Parent.Field->Name, std::move(Value)});
    return;
  }
  const bool InRootTable =
      Open.size() == 2 && std::holds_alternative<document_value::table>(Open.front().Value.Content);
  if (Receiver != nullptr && InRootTable)
    Receiver->add({std::move(Value), std::exchange(Defect, {})});
  else
    Elements->push_back(std::move(Value));
}

void part_builder::countMemory(const document_value &Value) {
  if (LimitedIndex == None || Dropped)
    return;
  const auto *Text = std::get_if<std::string>(&Value.Content);
  Memory += sizeof(document_field) + (Text == nullptr ? 0 : Text->size());
  if (Memory <= Open[LimitedIndex].Parts->MaxMemory)
    return;
  Dropped = true;
  for (std::size_t I = LimitedIndex; I < Open.size(); ++I)
    Open[I].Value.Content = std::monostate{};
}

} // namespace briarpoint
