#ifndef BRIARPOINT_STANDINS_FLOW_OUTCOME_H
#define BRIARPOINT_STANDINS_FLOW_OUTCOME_H

#include <cstdint>

namespace briarpoint {

/// How a simulated caller's flow ended.
enum class flow_outcome : std::uint8_t {
  Running,
  /// Every request got its own response.
  Finished,
  /// Rejected at setup (RST to the SYN, or ICMP): the request was not run.
  Refused,
  /// Ended by RST after the setup.
  Broken,
  /// No response within the time limit, in spite of retransmission.
  Unanswered,
  /// A response came from another service.
  WrongService,
  /// A response belongs to another request, or the target changed within the flow.
  WrongAnswer,
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_FLOW_OUTCOME_H
