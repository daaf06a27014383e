#ifndef BRIARPOINT_CORE_CONTROL_JOIN_PROGRESS_H
#define BRIARPOINT_CORE_CONTROL_JOIN_PROGRESS_H

#include "base/ids.h"
#include "base/instant.h"
#include "core/member/member_controller.h"

#include <set>

namespace briarpoint {

/// Data that a joining process has received so far.
class join_progress {
public:
  /// \p Incarnation is that of this process. At \p JoinDeadline the join is complete whatever is
  /// missing.
  void begin(std::uint64_t Incarnation, instant Now, instant JoinDeadline);

  /// Called when a peer had the same digests as this process, so its members and target statuses
  /// have been received.
  void recordAgreement(const member_info &Peer);

  /// Called when a peer has sent all flow records for \p ReceiverIncarnation.
  void recordTransferred(member_id Peer, std::uint64_t ReceiverIncarnation);

  /// True once everything has been received that is required with these \p Members, or the deadline
  /// has passed. \p Alone: no other process is known to exist.
  bool isComplete(const member_controller &Members, ownership_scope Scope, bool HasConfiguration,
                  bool Alone, instant Now) const;

private:
  std::uint64_t FirstIncarnation = 0;
  instant EarliestReadyAt{};
  instant Deadline = Never;
  bool AgreedWithReady = false;
  bool AgreedWithAny = false;
  std::set<member_id> Transferred;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_JOIN_PROGRESS_H
