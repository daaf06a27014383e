#ifndef BRIARPOINT_CORE_DATA_TARGET_OBSERVATION_H
#define BRIARPOINT_CORE_DATA_TARGET_OBSERVATION_H

#include "base/ids.h"

namespace briarpoint {

/// Observations of a target by an owner since its last report: the input of passive health checks.
struct target_observation {
  target_id Target{};
  /// Flow setups sent to the target, without retransmissions.
  std::uint32_t Setups = 0;
  /// Setups that the target accepted (SYN-ACK, or a first UDP reply).
  std::uint32_t Accepted = 0;
  /// Setups that the target refused (RST to a SYN, or ICMP).
  std::uint32_t Refused = 0;
  /// Setups that got no reply within the setup timeout.
  std::uint32_t TimedOut = 0;
  /// Flows ended because they were silent.
  std::uint32_t Silent = 0;
  /// Flows currently open of which the reporter is first owner.
  std::uint32_t OpenFlows = 0;

  auto operator<=>(const target_observation &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_TARGET_OBSERVATION_H
