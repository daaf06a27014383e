#ifndef BRIARPOINT_MEASURE_REQUEST_SCHEDULE_H
#define BRIARPOINT_MEASURE_REQUEST_SCHEDULE_H

#include <cstdint>

namespace briarpoint::measure {

/// Parts of the protocol that a schedule leaves out, to verify that the checks detect it.
enum class schedule_fault : std::uint8_t {
  None,
  /// Owners count as converged right after a change of their view.
  NoConvergence,
  /// Owners send to the target at once, without replicating their records.
  NoReplication,
};

/// Result of one schedule.
struct schedule_result {
  std::uint32_t Requests = 0;
  std::uint32_t Runs = 0;
  std::uint32_t Answers = 0;
  std::uint32_t NotRunAnswers = 0;
  std::uint32_t UnknownAnswers = 0;
  std::uint32_t Crashes = 0;
  /// Non-idempotent requests that ran more than once.
  std::uint32_t RanTwice = 0;
  /// Requests answered "not run" although a target had run them, or ran them later in an attempt
  /// that was sent before the answer. For non-idempotent requests any later run counts.
  std::uint32_t WrongNotRunAnswers = 0;
  std::uint64_t Hash = 0;
};

/// Runs the request ledgers of five balancers through one random schedule of loss, duplication,
/// delay, crash and retry.
schedule_result runSchedule(std::uint64_t Seed, schedule_fault Fault);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_REQUEST_SCHEDULE_H
