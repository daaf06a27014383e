#ifndef BRIARPOINT_CONFIG_PART_BUILDER_H
#define BRIARPOINT_CONFIG_PART_BUILDER_H

#include "base/findings_error.h"
#include "config/document_parts.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace briarpoint {

/// Builds the parts of a document from the events of a parser. The depth of what it keeps is that
/// of the document_parts. Numbers, names and nesting that a strict reader refuses are accepted.
class part_builder final : public nlohmann::json_sax<nlohmann::json> {
public:
  /// \p Text is the document, for positions in findings. \p Receiver may be nullptr; then the
  /// elements become part of the document. The references must outlive the object.
  part_builder(std::string_view Text, const std::string &Source, const document_parts &Parts,
               element_receiver *Receiver)
      : Text(Text), Source(Source), Parts(Parts), Receiver(Receiver) {}

  /// Returns whether a part of the next value is read. A parser that can find the end of a value
  /// without events need not pass the events of other ones.
  bool isNextRead() const { return SkippedLevels == 0 && nextParts() != nullptr; }

  bool null() override { return add(std::monostate{}); }
  bool boolean(bool Value) override { return add(Value); }
  bool number_integer(number_integer_t Value) override {
    return Value < 0 ? add(std::int64_t{Value}) : add(static_cast<std::uint64_t>(Value));
  }
  bool number_unsigned(number_unsigned_t Value) override { return add(std::uint64_t{Value}); }
  bool number_float(number_float_t Value, const string_t & /*Digits*/) override {
    return add(Value);
  }
  bool string(string_t &Value) override { return text(Value); }
  bool binary(binary_t & /*Value*/) override { return null(); }
  bool start_object(std::size_t /*Size*/) override { return open(document_value::table{}); }
  bool end_object() override { return close(); }
  bool start_array(std::size_t /*Size*/) override { return open(document_value::array{}); }
  bool end_array() override { return close(); }
  bool key(string_t &Name) override { return name(Name); }
  bool parse_error(std::size_t Position, const std::string &LastToken,
                   const nlohmann::json::exception &Error) override;

  bool text(std::string_view Value);
  /// The name of the next value. An empty one stands for a name that isn't a text.
  bool name(std::string_view Name);

  /// Returns the document after the parser has finished.
  /// \throws findings_error if the syntax is wrong.
  document_value finish();

private:
  static constexpr std::size_t None = std::numeric_limits<std::size_t>::max();

  /// A table or list whose end hasn't been reached.
  struct open_value {
    const document_parts *Parts;
    document_value Value;
    /// The field of a table whose value comes next; nullptr if it isn't read.
    const document_parts *Field = nullptr;
  };

  /// Returns which parts of the next value are read; nullptr if none.
  const document_parts *nextParts() const;
  bool add(document_value Value);
  bool add(decltype(document_value::Content) Content) {
    return add(document_value{std::move(Content)});
  }
  bool open(decltype(document_value::Content) Content);
  bool close();
  /// Adds a complete value to the innermost open table or list, or makes it the root.
  void attach(document_value Value);
  /// Counts the memory of a value. Drops the limited value that contains it if that one needs too
  /// much.
  void countMemory(const document_value &Value);

  std::string_view Text;
  const std::string &Source;
  const document_parts &Parts;
  element_receiver *Receiver;
  /// Number of open tables and lists that aren't read.
  std::size_t SkippedLevels = 0;
  std::vector<open_value> Open;
  document_value Root;
  /// Index in Open of the value whose memory is limited; None if there is none.
  std::size_t LimitedIndex = None;
  /// Memory of what was read within that value, in bytes.
  std::size_t Memory = 0;
  /// That value needs too much memory and was dropped.
  bool Dropped = false;
  /// Why a part of the current element is missing.
  std::string Defect;
  std::vector<finding> Findings;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_PART_BUILDER_H
