#ifndef BRIARPOINT_DAEMON_CONTROL_COUNTERS_H
#define BRIARPOINT_DAEMON_CONTROL_COUNTERS_H

#include <cstdint>
#include <map>
#include <string>

namespace briarpoint {

/// Counters of the control task since the process started.
struct control_counters {
  /// Bytes by kind: heartbeat, full_state, record_batch, probe, configuration.
  std::map<std::string, std::uint64_t> SentBytes;
  std::map<std::string, std::uint64_t> ReceivedBytes;
  /// Refused messages by reason: authentication, malformed, rpc_authentication.
  std::map<std::string, std::uint64_t> Refused;
  /// Probes by result: answered, unanswered, malformed.
  std::map<std::string, std::uint64_t> Probes;
  /// Patches by status.
  std::map<std::string, std::uint64_t> Patches;
  std::uint64_t SuppressedLogLines = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_CONTROL_COUNTERS_H
