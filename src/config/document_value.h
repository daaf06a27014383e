#ifndef BRIARPOINT_CONFIG_DOCUMENT_VALUE_H
#define BRIARPOINT_CONFIG_DOCUMENT_VALUE_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace briarpoint {

struct document_field;

/// A value of a JSON or TOML document. Both formats are read into this form and share one decoder.
struct document_value {
  using array = std::vector<document_value>;
  /// Fields in the order of the document. Names are unique, except after readLenientJson.
  using table = std::vector<document_field>;

  /// Integers that aren't negative are unsigned. A type that only one format has (such as a TOML
  /// date) is read as null, which no field accepts.
  std::variant<std::monostate, bool, std::int64_t, std::uint64_t, double, std::string, array, table>
      Content;
  /// Position in the text, from 1; 0 if unknown.
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// A named value of a table.
struct document_field {
  std::string Name;
  document_value Value;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_DOCUMENT_VALUE_H
