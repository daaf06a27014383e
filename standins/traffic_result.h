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
  /// Packets that no flow expected, and packets that couldn't be parsed.
  std::uint64_t Stray = 0;
  std::uint64_t Malformed = 0;
  /// Flows per service and target.
  std::map<std::string, std::map<std::string, std::uint64_t>> FlowsPerTarget;
  /// Largest max/mean of the flows per target of any service, without drained targets.
  double Imbalance = 1.0;

  auto operator<=>(const traffic_result &) const = default;
};

/// JSON object of a result.
std::string toJson(const traffic_result &Result);

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TRAFFIC_RESULT_H
