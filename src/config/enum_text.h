#ifndef BRIARPOINT_CONFIG_ENUM_TEXT_H
#define BRIARPOINT_CONFIG_ENUM_TEXT_H

#include "config/service_config.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace briarpoint {

/// Names of enumerators in JSON and TOML.
template <typename T> struct enum_names;

template <> struct enum_names<transport> {
  static constexpr std::array<std::pair<std::string_view, transport>, 2> Names{
      {{"tcp", transport::Tcp}, {"udp", transport::Udp}}};
};

template <> struct enum_names<request_class> {
  static constexpr std::array<std::pair<std::string_view, request_class>, RequestClassCount> Names{
      {{"critical", request_class::Critical},
       {"normal", request_class::Normal},
       {"bulk", request_class::Bulk}}};
};

template <> struct enum_names<target_intent> {
  static constexpr std::array<std::pair<std::string_view, target_intent>, 2> Names{
      {{"active", target_intent::Active}, {"leaving", target_intent::Leaving}}};
};

/// Returns the name of an enumerator, or "invalid" if it has none.
template <typename T> std::string_view enumText(T Value) {
  for (const auto &[Name, Enumerator] : enum_names<T>::Names)
    if (Enumerator == Value)
      return Name;
  return "invalid";
}

/// Returns the enumerator with this name, or nothing.
template <typename T> std::optional<T> parseEnum(std::string_view Text) {
  for (const auto &[Name, Enumerator] : enum_names<T>::Names)
    if (Name == Text)
      return Enumerator;
  return std::nullopt;
}

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_ENUM_TEXT_H
