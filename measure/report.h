#ifndef BRIARPOINT_MEASURE_REPORT_H
#define BRIARPOINT_MEASURE_REPORT_H

#include <nlohmann/json.hpp>

#include <string>

namespace briarpoint::measure {

/// Result of one case: figures, and checks of figures against the bounds of the design page.
class report {
public:
  report(const std::string &Case, std::uint64_t Seed);

  /// Adds a figure without a bound.
  template <typename T> void figure(const std::string &Name, const T &Value) {
    Json["figures"][Name] = Value;
  }
  /// Adds a figure that must be at most, or at least, the bound.
  void atMost(const std::string &Name, double Value, double Bound);
  void atLeast(const std::string &Name, double Value, double Bound);

  /// Mixes a value that isn't among the figures into the hash of the result.
  void mixIntoHash(std::uint64_t Value);

  bool passed() const { return Passed; }
  /// Returns the report as one JSON object on one line.
  std::string jsonLine() const;
  /// Hash of all figures and of the mixed values.
  std::uint64_t hash() const;

private:
  void check(const std::string &Name, double Value, double Bound, bool IsUpper, bool Pass);

  nlohmann::ordered_json Json;
  bool Passed = true;
  std::uint64_t RunHash = 0;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_REPORT_H
