#ifndef BRIARPOINT_CONFIG_DOCUMENT_BUILDER_H
#define BRIARPOINT_CONFIG_DOCUMENT_BUILDER_H

#include "base/findings_error.h"
#include "config/document_value.h"
#include "config/json_syntax_finding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace briarpoint {

/// Builds a document_value from the events of nlohmann's parser, and reports fields that appear
/// twice, objects with more than MaxFields fields, and nesting deeper than MaxDepth. nlohmann::json
/// isn't used as the document type because it silently keeps only the last of two fields with the
/// same name.
class document_builder final : public nlohmann::json_sax<nlohmann::json> {
public:
  /// Maximum nesting depth, above that of any configuration. Bounds recursion in the decoder.
  static constexpr std::size_t MaxDepth = 32;
  /// Maximum number of fields of an object, above that of any object in a configuration. Bounds the
  /// search for duplicates.
  static constexpr std::size_t MaxFields = 256;

  document_builder(std::string_view Text, const std::string &Source) : Text(Text), Source(Source) {}

  bool null() override { return add(std::monostate{}); }
  bool boolean(bool Value) override { return add(Value); }
  bool number_integer(number_integer_t Value) override {
    return Value < 0 ? add(std::int64_t{Value}) : add(static_cast<std::uint64_t>(Value));
  }
  bool number_unsigned(number_unsigned_t Value) override { return add(std::uint64_t{Value}); }
  bool number_float(number_float_t Value, const string_t & /*Digits*/) override {
    return add(Value);
  }
  bool string(string_t &Value) override { return add(std::move(Value)); }
  bool binary(binary_t & /*Value*/) override { return false; }
  bool start_object(std::size_t /*Size*/) override { return open(document_value::table{}); }
  bool end_object() override { return close(); }
  bool start_array(std::size_t /*Size*/) override { return open(document_value::array{}); }
  bool end_array() override { return close(); }

  bool key(string_t &Name) override {
    const auto &Fields = std::get<document_value::table>(Open.back().Value.Content);
    if (Fields.size() >= MaxFields) {
      Findings.push_back({Source, 0, 0, "", "has an object of more than 256 fields"});
      return false;
    }
    if (std::any_of(Fields.begin(), Fields.end(),
                    [&Name](const document_field &Field) { return Field.Name == Name; }))
      Findings.push_back({Source, 0, 0, Name, "appears twice in one object"});
    Open.back().FieldName = Name;
    return true;
  }

  bool parse_error(std::size_t Position, const std::string &LastToken,
                   const nlohmann::json::exception & /*Error*/) override {
    Findings.push_back(jsonSyntaxFinding(Source, Text, Position, LastToken));
    return false;
  }

  /// Returns the document after the parser has finished.
  /// \throws findings_error if there are findings.
  document_value finish() {
    if (!Findings.empty())
      throw findings_error(std::move(Findings));
    return std::move(Root);
  }

private:
  struct open_value {
    document_value Value;
    std::string FieldName;
  };

  template <typename T> bool add(T &&Content) {
    attach(document_value{std::forward<T>(Content)});
    return true;
  }

  bool open(document_value::table Table) { return push(document_value{std::move(Table)}); }
  bool open(document_value::array Array) { return push(document_value{std::move(Array)}); }

  bool push(document_value Value) {
    if (Open.size() >= MaxDepth) {
      Findings.push_back({Source, 0, 0, "", "is nested more than 32 levels deep"});
      return false;
    }
    Open.push_back({std::move(Value), ""});
    return true;
  }

  bool close() {
    document_value Value = std::move(Open.back().Value);
    Open.pop_back();
    attach(std::move(Value));
    return true;
  }

  /// Adds a complete value to the innermost open array or table, or makes it the root.
  void attach(document_value Value) {
    if (Open.empty()) {
      Root = std::move(Value);
      return;
    }
    open_value &Parent = Open.back();
    if (auto *Array = std::get_if<document_value::array>(&Parent.Value.Content))
      Array->push_back(std::move(Value));
    else
      std::get<document_value::table>(Parent.Value.Content)
          .push_back({std::move(Parent.FieldName), std::move(Value)});
  }

  std::string_view Text;
  const std::string &Source;
  document_value Root;
  std::vector<open_value> Open;
  std::vector<finding> Findings;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_DOCUMENT_BUILDER_H
