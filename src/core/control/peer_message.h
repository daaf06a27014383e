#ifndef BRIARPOINT_CORE_CONTROL_PEER_MESSAGE_H
#define BRIARPOINT_CORE_CONTROL_PEER_MESSAGE_H

#include "config/configuration.h"
#include "core/flow/flow_record.h"
#include "core/member/member_info.h"
#include "core/member/member_suspicion.h"
#include "core/target/target_status.h"

#include <variant>
#include <vector>

namespace briarpoint {

/// Periodic message to ring neighbours, and at once when something changed.
struct heartbeat {
  /// The sender, complete, so that a receiver that doesn't know it yet can answer.
  member_info Sender;
  config_version Version = 0;
  /// The sender misses heartbeats of the receiver and asks for one at once.
  bool WantsAnswer = false;
  /// Digests of the sender's member and target-status maps.
  std::uint64_t MemberDigest = 0;
  std::uint64_t StatusDigest = 0;
  /// Piggybacked updates. A suspected member is listed in Suspects with the incarnation that is
  /// doubted and who doubts it.
  std::vector<member_info> Members;
  std::vector<target_status> Statuses;
  using suspicion = member_suspicion;
  std::vector<suspicion> Suspects;

  auto operator<=>(const heartbeat &) const = default;
};

/// Complete maps, in as many messages as needed; sent on request, to joining members and when
/// digests differ.
struct full_state {
  member_id Sender{};
  config_version Version = 0;
  /// The receiver is asked to send its own full state back.
  bool WantsReply = false;
  std::vector<member_info> Members;
  std::vector<target_status> Statuses;

  auto operator<=>(const full_state &) const = default;
};

/// Flow records for a new owner.
struct record_batch {
  member_id Sender{};
  std::vector<flow_record> Records;
  /// The sender has no further records for the receiver, for its present incarnation.
  bool Last = false;
  std::uint64_t ReceiverIncarnation = 0;

  auto operator<=>(const record_batch &) const = default;
};

/// A message between balancers, without transport and authentication.
using peer_message = std::variant<heartbeat, full_state, record_batch>;

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_PEER_MESSAGE_H
