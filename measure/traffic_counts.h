#ifndef BRIARPOINT_MEASURE_TRAFFIC_COUNTS_H
#define BRIARPOINT_MEASURE_TRAFFIC_COUNTS_H

#include "config/request_class.h"

#include <array>
#include <cstdint>

namespace briarpoint::measure {

/// Events that the simulated callers and targets observed.
struct traffic_counts {
  std::uint64_t Opened = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Answers = 0;
  /// Broken flows by cause: a packet reached a target other than the one that accepted the flow, an
  /// unexpected reset or ICMP error arrived, no answer came for 15 s.
  std::uint64_t BrokenMisrouted = 0;
  std::uint64_t BrokenReset = 0;
  std::uint64_t BrokenStalled = 0;
  std::uint64_t WrongService = 0;
  /// Flows that targets accepted more than 3 s after they were marked as leaving.
  std::uint64_t NewOnLeaving = 0;
  /// Flows that ended because their target had failed or was unreachable, and because they were
  /// silent.
  std::uint64_t EndedWithDeadTarget = 0;
  std::uint64_t EndedSilent = 0;
  /// Silent flows that ended more than 15 s after the silence criterion was met, and the longest
  /// time in seconds.
  std::uint64_t SilentLate = 0;
  double SilentLongestSeconds = 0.0;
  /// Setups that were rejected, and that got no answer.
  std::uint64_t Rejected = 0;
  std::uint64_t Unanswered = 0;
  /// Flows that the caller abandoned after 120 s without an answer, for example to a close.
  std::uint64_t CloseUnanswered = 0;
  /// Flows that plain hashing without flow records would have broken.
  std::uint64_t PlainBroken = 0;
  /// Flows that got a first answer, by the data centre of their callers.
  std::array<std::uint64_t, 3> ServedByDataCentre{};
  /// Flows opened and flows that got an answer, by class.
  std::array<std::uint64_t, RequestClassCount> Offered{};
  std::array<std::uint64_t, RequestClassCount> Delivered{};
  /// Setups that were rejected although a target had served a request of the flow.
  std::uint64_t NotRunButRan = 0;

  std::uint64_t broken() const { return BrokenMisrouted + BrokenReset + BrokenStalled; }
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_TRAFFIC_COUNTS_H
