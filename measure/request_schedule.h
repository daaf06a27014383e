#ifndef BRIARPOINT_MEASURE_REQUEST_SCHEDULE_H
#define BRIARPOINT_MEASURE_REQUEST_SCHEDULE_H

#include <cstdint>

namespace briarpoint::measure {

/// Faults that a schedule leaves out of the protocol, to show that the checks find them.
enum class schedule_fault : std::uint8_t {
  None,
  /// Owners treat themselves as converged although their view just changed.
  NoConvergence,
  /// Owners send to the target at once and keep their records to themselves.
  NoReplication,
};

/// What one schedule did.
struct schedule_result {
  std::uint32_t Requests = 0;
  std::uint32_t Runs = 0;
  std::uint32_t Answers = 0;
  std::uint32_t NotRunAnswers = 0;
  std::uint32_t UnknownAnswers = 0;
  std::uint32_t Crashes = 0;
  /// Non-idempotent requests that ran more than once.
  std::uint32_t RanTwice = 0;
  /// Requests whose caller was told "not run" although a target ran them, or ran them later because
  /// of an attempt before the answer. For non-idempotent ones any later run counts.
  std::uint32_t WrongNotRunAnswers = 0;
  std::uint64_t Hash = 0;
};

/// Runs one random schedule of loss, duplication, delay, crash and retry over the request ledgers
/// of five balancers.
schedule_result runSchedule(std::uint64_t Seed, schedule_fault Fault);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_REQUEST_SCHEDULE_H
