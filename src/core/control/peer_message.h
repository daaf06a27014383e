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

/// Sent periodically to ring neighbours, and at once after a change.
struct heartbeat {
  /// Complete entry of the sender, so that a receiver without an entry for it can reply.
  member_info Sender;
  config_version Version = 0;
  /// The receiver's heartbeats are overdue at the sender, which requests one at once.
  bool WantsAnswer = false;
  /// Digests of the sender's member and target-status maps.
  std::uint64_t MemberDigest = 0;
  std::uint64_t StatusDigest = 0;
  /// Piggybacked updates. A suspected member is listed in Suspects with its suspected incarnation
  /// and its accuser.
  std::vector<member_info> Members;
  std::vector<target_status> Statuses;
  using suspicion = member_suspicion;
  std::vector<suspicion> Suspects;

  auto operator<=>(const heartbeat &) const = default;
};

/// Complete member and target-status maps, in as many messages as needed; sent on request, to
/// joining members and when digests differ.
struct full_state {
  member_id Sender{};
  config_version Version = 0;
  /// Requests the receiver's own full state.
  bool WantsReply = false;
  std::vector<member_info> Members;
  std::vector<target_status> Statuses;

  auto operator<=>(const full_state &) const = default;
};

/// Flow records for a new owner.
struct record_batch {
  member_id Sender{};
  std::vector<flow_record> Records;
  /// The sender has no further records for the receiver's incarnation ReceiverIncarnation.
  bool Last = false;
  std::uint64_t ReceiverIncarnation = 0;

  auto operator<=>(const record_batch &) const = default;
};

/// A message between balancers, without transport and authentication.
using peer_message = std::variant<heartbeat, full_state, record_batch>;

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_PEER_MESSAGE_H
