#ifndef BRIARPOINT_STANDINS_TRAFFIC_RESULT_H
#define BRIARPOINT_STANDINS_TRAFFIC_RESULT_H

#include <cstdint>
#include <map>
#include <string>

namespace briarpoint {

/// Result of a run of simulated callers.
struct traffic_result {
  std::uint64_t Flows = 0;
  std::uint64_t Finished = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Broken = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t WrongService = 0;
  std::uint64_t WrongAnswer = 0;
  std::uint64_t Running = 0;
  /// Packets that belong to no flow.
  std::uint64_t Stray = 0;
  /// Packets that couldn't be parsed.
  std::uint64_t Malformed = 0;
  /// Flows per service and target.
  std::map<std::string, std::map<std::string, std::uint64_t>> FlowsPerTarget;
  /// Ratio of the maximum to the mean number of flows per target, without drained targets; the
  /// largest ratio of any service.
  double Imbalance = 1.0;

  auto operator<=>(const traffic_result &) const = default;
};

/// Returns a result as a JSON object.
std::string toJson(const traffic_result &Result);

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TRAFFIC_RESULT_H
