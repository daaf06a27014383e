#ifndef BRIARPOINT_CONFIG_FIELD_READER_H
#define BRIARPOINT_CONFIG_FIELD_READER_H

#include "config/finding_collector.h"
#include "config/value_conversion.h"

#include <functional>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Reads the fields of one table by name and reports what is wrong with them. After the last field,
/// call finish(), which reports the unknown ones.
class field_reader {
public:
  /// \p Value and \p Findings must outlive the reader. Reports a value that isn't a table; every
  /// read does nothing then.
  field_reader(const document_value &Value, std::string Path, finding_collector &Findings);

  /// Reads a field that must be there, or one that may be missing and keeps its default then.
  /// Returns whether a valid value was read. \p Out is a reference or one of the wrappers of
  /// value_conversion.h.
  template <typename T> bool required(std::string_view Name, T &&Out) {
    return read(Name, std::forward<T>(Out), true);
  }
  template <typename T> bool optional(std::string_view Name, T &&Out) {
    return read(Name, std::forward<T>(Out), false);
  }

  /// Calls \p Read with each element of an array and its path.
  using element_function = std::function<void(const document_value &, const std::string &)>;
  void requiredElements(std::string_view Name, const element_function &Read);
  void optionalElements(std::string_view Name, const element_function &Read);

  /// Calls \p Read with the value of a field, if it is there, and its path. Returns whether it is.
  bool requiredValue(std::string_view Name, const element_function &Read);
  bool optionalValue(std::string_view Name, const element_function &Read);

  /// Reports a finding about a field, at the field's position if it is there.
  void report(std::string_view Name, std::string Message);

  /// Reports every field that wasn't read, with the nearest known name.
  void finish();

private:
  const document_value *find(std::string_view Name, bool Required);
  bool readElements(std::string_view Name, const element_function &Read, bool Required);
  std::string pathOf(std::string_view Name) const;

  template <typename T> bool read(std::string_view Name, T &&Out, bool Required) {
    const document_value *Value = find(Name, Required);
    if (Value == nullptr)
      return false;
    std::string Error = convertValue(*Value, std::forward<T>(Out));
    if (Error.empty())
      return true;
    Findings.add(*Value, pathOf(Name), std::move(Error));
    return false;
  }

  const document_value &Value;
  const document_value::table *Fields;
  std::string Path;
  finding_collector &Findings;
  std::vector<std::string_view> Known;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_FIELD_READER_H
