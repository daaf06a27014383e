#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_SETTINGS_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_SETTINGS_H

#include "base/instant.h"
#include "core/member/member_info.h"
#include "core/view/ownership_table.h"

namespace briarpoint {

/// Settings of member_controller.
struct member_settings {
  member_info Self;
  ownership_scope Scope = ownership_scope::DataCentre;
  duration HeartbeatInterval = std::chrono::seconds(1);
  /// Silence after which a member is suspected; at most doubled for a member that refuted often.
  duration SuspectAfter = std::chrono::milliseconds(2500);
  /// Time for which a member must be suspected before it is declared dead.
  duration DeadAfter = std::chrono::milliseconds(1500);
  std::uint32_t RingSuccessors = 8;
  /// Period over which refutations of a member count towards its damping.
  duration DampingWindow = std::chrono::minutes(5);
  /// How long a dead member's entry is kept and the member contacted again from time to time. A
  /// region can be cut off for minutes, and all seeds may have been replaced in the meantime.
  duration DeadMemberRetention = std::chrono::hours(1);
  /// How long a death is part of the full state.
  duration DeathDisseminationPeriod = std::chrono::minutes(5);

  auto operator<=>(const member_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_SETTINGS_H
