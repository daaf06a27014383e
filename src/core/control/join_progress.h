#ifndef BRIARPOINT_CORE_CONTROL_JOIN_PROGRESS_H
#define BRIARPOINT_CORE_CONTROL_JOIN_PROGRESS_H

#include "base/ids.h"
#include "base/instant.h"
#include "core/member/member_controller.h"

#include <set>

namespace briarpoint {

/// What a joining process has received so far.
class join_progress {
public:
  /// \p Incarnation is that of this process, \p Deadline the instant at which it waits no longer.
  void begin(std::uint64_t Incarnation, instant Now, instant JoinDeadline);

  /// A peer had the same digests as this process, so its members and target statuses are known.
  void recordAgreement(const member_info &Peer);

  /// A peer has sent all records for \p ReceiverIncarnation.
  void recordTransferred(member_id Peer, std::uint64_t ReceiverIncarnation);

  /// True once all is there that \p Members show to be needed. \p Alone: no other process is known
  /// to exist.
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
