#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_SUSPICION_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_SUSPICION_H

#include "base/ids.h"

#include <compare>

namespace briarpoint {

/// Statement that a member's heartbeats stopped arriving at another member.
struct member_suspicion {
  member_id Member{};
  /// Suspected incarnation of Member; a higher one refutes the suspicion.
  std::uint64_t Incarnation = 0;
  /// Member that misses the heartbeats. Other members need accusations by several accusers to
  /// suspect Member.
  member_id Accuser{};

  auto operator<=>(const member_suspicion &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_SUSPICION_H
