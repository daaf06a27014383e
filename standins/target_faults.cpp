#include "standins/target_faults.h"

#include "base/findings_error.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace briarpoint {

namespace {

constexpr std::int64_t MaxColdStartMs = 3'600'000;

constexpr std::array<std::pair<const char *, bool target_faults::*>, 6> Switches{{
    {"draining", &target_faults::Draining},
    {"shedding", &target_faults::Shedding},
    {"lagging_health", &target_faults::LaggingHealth},
    {"misleading_health", &target_faults::MisleadingHealth},
    {"no_health", &target_faults::NoHealth},
    {"silent_connections", &target_faults::SilentConnections},
}};

/// Applies one field. Returns an error text, or an empty string on success.
std::string applyField(const std::string &Name, const nlohmann::json &Value,
                       target_faults &Faults) {
  for (const auto &[SwitchName, Member] : Switches) {
    if (Name != SwitchName)
      continue;
    if (!Value.is_boolean())
      return "must be true or false";
    Faults.*Member = Value.get<bool>();
    return "";
  }
  if (Name != "cold_start_ms")
    return "unknown field";
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > MaxColdStartMs)
    return "must be an integer of 0 to 3600000";
  Faults.ColdStart = std::chrono::milliseconds(Value.get<std::int64_t>());
  return "";
}

} // namespace

target_faults parseFaults(std::string_view Json, const target_faults &Base) {
  const nlohmann::json Document = nlohmann::json::parse(Json, nullptr, false);
  if (!Document.is_object())
    throw findings_error({{"faults", 0, 0, "", "must be a JSON object"}});
  target_faults Faults = Base;
  std::vector<finding> Findings;
  for (const auto &[Name, Value] : Document.items()) {
    const std::string Problem = applyField(Name, Value, Faults);
    if (!Problem.empty())
      Findings.push_back({"faults", 0, 0, Name, Problem});
  }
  if (!Findings.empty())
    throw findings_error(std::move(Findings));
  return Faults;
}

} // namespace briarpoint
