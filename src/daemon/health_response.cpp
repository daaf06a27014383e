#include "daemon/health_response.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace briarpoint {

namespace {

/// Reads a 32-bit number; returns false if it is missing or out of range.
bool readNumber(const nlohmann::json &Document, const char *Name, std::uint32_t &Out) {
  const auto Found = Document.find(Name);
  if (Found == Document.end() || !Found->is_number_unsigned() ||
      Found->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    return false;
  Out = Found->get<std::uint32_t>();
  return true;
}

} // namespace

std::optional<probe_result> parseHealthResponse(target_id Target, std::string_view Body) {
  const nlohmann::json Document = nlohmann::json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return std::nullopt;
  probe_result Result;
  Result.Target = Target;
  Result.Answered = true;
  const auto State = Document.find("state");
  if (State == Document.end() || !State->is_string() ||
      !readNumber(Document, "slots", Result.Slots) ||
      !readNumber(Document, "slots_in_use", Result.SlotsInUse) ||
      !readNumber(Document, "connections", Result.Connections))
    return std::nullopt;
  Result.Draining = *State == "draining";
  Result.Shedding = *State == "shedding";
  if (!Result.Draining && !Result.Shedding && *State != "active")
    return std::nullopt;
  return Result;
}

} // namespace briarpoint
