#ifndef BRIARPOINT_CONFIG_FIELD_READER_H
#define BRIARPOINT_CONFIG_FIELD_READER_H

#include "config/finding_collector.h"
#include "config/value_conversion.h"

#include <functional>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Reads the fields of one table by name and reports errors in them. After the last field, call
/// finish(), which reports unknown fields.
class field_reader {
public:
  /// \p Value and \p Findings must outlive the reader. If \p Value isn't a table, this is reported
  /// and no field is read.
  field_reader(const document_value &Value, std::string Path, finding_collector &Findings);

  /// Reads a field that must exist, or one that may be missing. \p Out is a reference or one of the
  /// wrappers of value_conversion.h; it is unchanged if no valid value was read. Returns whether
  /// one was read.
  template <typename T> bool required(std::string_view Name, T &&Out) {
    return read(Name, std::forward<T>(Out), true);
  }
  template <typename T> bool optional(std::string_view Name, T &&Out) {
    return read(Name, std::forward<T>(Out), false);
  }

  /// Functions of this type get an element or a value, and its path.
  using element_function = std::function<void(const document_value &, const std::string &)>;
  /// Calls \p Read for each element of an array.
  void requiredElements(std::string_view Name, const element_function &Read);
  void optionalElements(std::string_view Name, const element_function &Read);

  /// Calls \p Read for the value of a field if the field exists. Returns whether it does.
  bool requiredValue(std::string_view Name, const element_function &Read);
  bool optionalValue(std::string_view Name, const element_function &Read);

  /// Reports a finding about a field, at the position of the field or, if it is missing, of the
  /// table.
  void report(std::string_view Name, std::string Message);

  /// Reports every field that wasn't read, with the most similar known name if there is one.
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
