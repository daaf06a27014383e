#include "measure/report.h"

#include "base/hash.h"

namespace briarpoint::measure {

report::report(const std::string &Case, std::uint64_t Seed) {
  Json["case"] = Case;
  Json["seed"] = Seed;
  Json["pass"] = true;
  Json["checks"] = nlohmann::ordered_json::array();
  Json["figures"] = nlohmann::ordered_json::object();
}

void report::check(const std::string &Name, double Value, double Bound, bool IsUpper, bool Pass) {
  Json["checks"].push_back({{"name", Name},
                            {"value", Value},
                            {IsUpper ? "at_most" : "at_least", Bound},
                            {"pass", Pass}});
  Passed = Passed && Pass;
  Json["pass"] = Passed;
}

// NaN fails both kinds of checks.
void report::atMost(const std::string &Name, double Value, double Bound) {
  check(Name, Value, Bound, true, Value <= Bound);
}

void report::atLeast(const std::string &Name, double Value, double Bound) {
  check(Name, Value, Bound, false, Value >= Bound);
}

void report::mixIntoHash(std::uint64_t Value) { RunHash = mixHash(RunHash, Value); }

std::uint64_t report::hash() const {
  return hashBytes(Json["checks"].dump() + Json["figures"].dump(), RunHash);
}

std::string report::jsonLine() const {
  nlohmann::ordered_json WithHash = Json;
  WithHash["hash"] = hash();
  return WithHash.dump();
}

} // namespace briarpoint::measure
