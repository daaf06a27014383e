#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_SUSPICION_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_SUSPICION_H

#include "base/ids.h"

#include <compare>

namespace briarpoint {

/// Statement that a member's heartbeats stopped arriving at another member.
struct member_suspicion {
  member_id Member{};
  /// Incarnation of Member that is doubted; a higher one refutes the suspicion.
  std::uint64_t Incarnation = 0;
  /// Who misses the heartbeats. Several accusers are needed before others believe it.
  member_id Accuser{};

  auto operator<=>(const member_suspicion &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_SUSPICION_H
