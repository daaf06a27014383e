#ifndef BRIARPOINT_DAEMON_PACKET_TASK_COUNTERS_H
#define BRIARPOINT_DAEMON_PACKET_TASK_COUNTERS_H

#include <cstdint>

namespace briarpoint {

/// Counters of the packet socket since the process started.
struct packet_task_counters {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  /// Datagrams that the system refused to send.
  std::uint64_t NotSent = 0;
  /// Not Geneve, or too long.
  std::uint64_t Malformed = 0;
  /// A hand-over option of a known balancer that can't be parsed.
  std::uint64_t MalformedHandover = 0;
  /// The source is neither a balancer, nor a target, nor the fabric.
  std::uint64_t UnknownSource = 0;
  /// A hand-over option from a source that isn't a known balancer.
  std::uint64_t UnexpectedHandover = 0;
  /// A reply whose VNI isn't that of the target's service.
  std::uint64_t WrongVni = 0;

  std::uint64_t refused() const {
    return Malformed + MalformedHandover + UnknownSource + UnexpectedHandover + WrongVni;
  }
  auto operator<=>(const packet_task_counters &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_TASK_COUNTERS_H
