#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_ENTRY_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_ENTRY_H

#include "base/instant.h"
#include "core/member/member_info.h"

#include <map>
#include <vector>

namespace briarpoint {

/// State that this process keeps about another member.
struct member_entry {
  member_info Info;
  /// Receivers of the member's heartbeats, which are the ones that can accuse it.
  std::vector<member_id> Monitors;
  /// This process is one of Monitors.
  bool Monitored = false;
  /// A heartbeat of the current incarnation was received from the member itself.
  bool HeartbeatReceived = false;
  /// When missing heartbeats make the member suspected, if this process monitors it.
  instant SuspectAt = Never;
  /// When the next heartbeat is requested from the member because one is overdue.
  instant QueryAt = Never;
  /// Accusers and when their accusation expires. An expired one is kept for a while, so that copies
  /// that still circulate don't renew it.
  std::map<member_id, instant> Accusers;
  /// Members that report this one as dead, and when their reports expire. Unlike accusations,
  /// reports aren't repeated by heartbeats.
  std::map<member_id, instant> DeathReports;
  bool Suspected = false;
  /// Until this time a damped member stays suspected after a refutation, unless its heartbeats
  /// arrive directly.
  instant SuspectedUntil = instant::min();
  /// When an accused member may be declared dead; Never while it isn't accused.
  instant DeadAt = Never;
  /// For a dead member: when its death is no longer disseminated, and when its entry is removed.
  instant DisseminateUntil = Never;
  instant RemoveAt = Never;
  /// The member announced that it leaves before it was declared dead.
  bool Left = false;
  /// Refutations within the damping window.
  std::uint32_t Refutations = 0;
  instant RefutationsExpireAt = Never;

  bool isDead() const { return Info.State == member_state::Dead; }
  bool isDamped() const { return Refutations >= 2; }
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_ENTRY_H
