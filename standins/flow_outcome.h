#ifndef BRIARPOINT_STANDINS_FLOW_OUTCOME_H
#define BRIARPOINT_STANDINS_FLOW_OUTCOME_H

#include <cstdint>

namespace briarpoint {

/// Outcome of a simulated caller's flow.
enum class flow_outcome : std::uint8_t {
  Running,
  /// Every request got its own response.
  Finished,
  /// Rejected at setup (RST to the SYN, or ICMP); no request was executed.
  Refused,
  /// Ended by RST or ICMP after the setup.
  Broken,
  /// No response within the timeout in spite of retransmission.
  Unanswered,
  /// A response came from another service.
  WrongService,
  /// A response belongs to another request, or the target changed within the flow.
  WrongAnswer,
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_FLOW_OUTCOME_H
