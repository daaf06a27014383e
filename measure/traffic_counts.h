#ifndef BRIARPOINT_MEASURE_TRAFFIC_COUNTS_H
#define BRIARPOINT_MEASURE_TRAFFIC_COUNTS_H

#include "config/request_class.h"

#include <array>
#include <cstdint>

namespace briarpoint::measure {

/// What the fake callers and targets saw.
struct traffic_counts {
  std::uint64_t Opened = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Answers = 0;
  /// Broken flows by cause: a packet reached a target that doesn't hold the flow, a reset or ICMP
  /// error came that shouldn't, nothing got through for 15 s.
  std::uint64_t BrokenMisrouted = 0;
  std::uint64_t BrokenReset = 0;
  std::uint64_t BrokenStalled = 0;
  std::uint64_t WrongService = 0;
  /// Flows that a target accepted more than 3 s after it was marked as leaving.
  std::uint64_t NewOnLeaving = 0;
  /// Flows that ended because their target died or was removed, or because they were silent.
  std::uint64_t EndedWithDeadTarget = 0;
  std::uint64_t EndedSilent = 0;
  /// Silent flows that ended later than 15 s after the criterion was met, and the longest time.
  std::uint64_t SilentLate = 0;
  double SilentLongestSeconds = 0.0;
  /// Setups that were rejected or got no answer.
  std::uint64_t Rejected = 0;
  std::uint64_t Unanswered = 0;
  /// Closes without an answer of the target; the flow had ended for the caller.
  std::uint64_t CloseUnanswered = 0;
  /// Flows that plain hashing without history would have broken.
  std::uint64_t PlainBroken = 0;
  /// Flows that got a first answer, by the data centre of their callers.
  std::array<std::uint64_t, 3> ServedByDataCentre{};
  /// Flows opened by class, and those that got an answer.
  std::array<std::uint64_t, RequestClassCount> Offered{};
  std::array<std::uint64_t, RequestClassCount> Delivered{};
  /// "Not run" answers to setups that a target had served.
  std::uint64_t NotRunButRan = 0;

  std::uint64_t broken() const { return BrokenMisrouted + BrokenReset + BrokenStalled; }
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_TRAFFIC_COUNTS_H
