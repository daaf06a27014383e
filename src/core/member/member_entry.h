#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_ENTRY_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_ENTRY_H

#include "base/instant.h"
#include "core/member/member_info.h"

#include <map>
#include <vector>

namespace briarpoint {

/// What this process knows about another member.
struct member_entry {
  member_info Info;
  /// Receivers of its heartbeats, who are the ones that can accuse it.
  std::vector<member_id> Monitors;
  /// This process is one of Monitors.
  bool Monitored = false;
  /// The present incarnation was heard directly.
  bool HeardDirectly = false;
  /// When silence becomes a suspicion, if this process monitors it.
  instant SuspectAt = Never;
  /// When the member is asked for a heartbeat, because one is overdue.
  instant QueryAt = Never;
  /// Accusers and when their accusation lapses. A lapsed one stays for a while, so that copies that
  /// still circulate don't renew it.
  std::map<member_id, instant> Accusers;
  /// Members that hold this one for dead, and how long their claim counts. Unlike accusations,
  /// claims aren't repeated by heartbeats.
  std::map<member_id, instant> DeathReports;
  bool Suspected = false;
  /// Until then a dampened member stays suspected after a refutation, unless it is heard directly.
  instant SuspectedUntil = instant::min();
  instant DeadAt = Never;
  /// Set for a dead member: when its death isn't spread any more, and when it is forgotten.
  instant DisseminateUntil = Never;
  instant RemoveAt = Never;
  /// It announced that it leaves before it was declared dead.
  bool Left = false;
  /// Refutations within the damping window.
  std::uint32_t Refutations = 0;
  instant RefutationsExpireAt = Never;

  bool isDead() const { return Info.State == member_state::Dead; }
  bool isDamped() const { return Refutations >= 2; }
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_ENTRY_H
