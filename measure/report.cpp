#include "measure/report.h"

#include "base/hash.h"

namespace briarpoint::measure {

report::report(const std::string &Case, std::uint64_t Seed) {
  Text["case"] = Case;
  Text["seed"] = Seed;
  Text["pass"] = true;
  Text["checks"] = nlohmann::ordered_json::array();
  Text["figures"] = nlohmann::ordered_json::object();
}

void report::check(const std::string &Name, double Value, double Bound, bool IsUpper, bool Pass) {
  Text["checks"].push_back({{"name", Name},
                            {"value", Value},
                            {IsUpper ? "at_most" : "at_least", Bound},
                            {"pass", Pass}});
  Passed = Passed && Pass;
  Text["pass"] = Passed;
}

// A value that isn't a number fails both kinds of checks.
void report::atMost(const std::string &Name, double Value, double Bound) {
  check(Name, Value, Bound, true, Value <= Bound);
}

void report::atLeast(const std::string &Name, double Value, double Bound) {
  check(Name, Value, Bound, false, Value >= Bound);
}

void report::mix(std::uint64_t Value) { Mixed = mixHash(Mixed, Value); }

std::uint64_t report::hash() const {
  return hashBytes(Text["checks"].dump() + Text["figures"].dump(), Mixed);
}

std::string report::text() const {
  nlohmann::ordered_json Whole = Text;
  Whole["hash"] = hash();
  return Whole.dump();
}

} // namespace briarpoint::measure
