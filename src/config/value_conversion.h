#ifndef BRIARPOINT_CONFIG_VALUE_CONVERSION_H
#define BRIARPOINT_CONFIG_VALUE_CONVERSION_H

#include "base/instant.h"
#include "config/document_value.h"
#include "config/enum_text.h"

#include <concepts>
#include <limits>
#include <string>

namespace briarpoint {

/// Destination of a number, with its limits (inclusive).
template <typename T> struct bounded {
  T &Out;
  T Min = std::numeric_limits<T>::min();
  T Max = std::numeric_limits<T>::max();
};
template <typename T> bounded(T &) -> bounded<T>;
template <typename T> bounded(T &, T, T) -> bounded<T>;

/// Destination of a name: 1 to 64 characters of [A-Za-z0-9._-].
struct name_text {
  std::string &Out;
};

/// Returns whether \p Text is a name as described at name_text.
bool isName(std::string_view Text);

/// Convert a value and store it in the second parameter. They return an empty text on success, or
/// the error, in which case the destination is unchanged.
std::string convertValue(const document_value &Value, std::string &Out);
std::string convertValue(const document_value &Value, bool &Out);
std::string convertValue(const document_value &Value, name_text Out);
std::string convertValue(const document_value &Value, ip_address &Out);
std::string convertValue(const document_value &Value, endpoint &Out);
std::string convertValue(const document_value &Value, bounded<double> Out);
/// Durations are written with a unit: "250ms", "2.5s", "10min", "24h".
std::string convertValue(const document_value &Value, bounded<duration> Out);

/// Stores an integer from \p Min to \p Max in \p Out. Returns as convertValue does.
std::string convertInteger(const document_value &Value, std::uint64_t Min, std::uint64_t Max,
                           std::uint64_t &Out);

template <std::unsigned_integral T>
std::string convertValue(const document_value &Value, bounded<T> Out) {
  std::uint64_t Number = 0;
  std::string Error = convertInteger(Value, Out.Min, Out.Max, Number);
  if (Error.empty())
    Out.Out = static_cast<T>(Number);
  return Error;
}

template <typename T>
requires std::is_enum_v<T> std::string convertValue(const document_value &Value, T &Out) {
  const auto *Text = std::get_if<std::string>(&Value.Content);
  if (Text != nullptr) {
    if (const std::optional<T> Parsed = parseEnum<T>(*Text)) {
      Out = *Parsed;
      return {};
    }
  }
  std::string Error = "must be one of";
  for (const auto &[Name, Enumerator] : enum_names<T>::Names)
    Error.append(" \"").append(Name).append("\"");
  return Error;
}

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_VALUE_CONVERSION_H
