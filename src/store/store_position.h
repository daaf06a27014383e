#ifndef BRIARPOINT_STORE_STORE_POSITION_H
#define BRIARPOINT_STORE_STORE_POSITION_H

#include <compare>
#include <cstdint>

namespace briarpoint {

/// A state of the store. Within an era, revisions only increase. A store that comes back from an
/// older copy gives out revisions again; its era is higher by one then. Ordered by era, then
/// revision.
struct store_position {
  /// 0 on platforms whose store states no era.
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;

  auto operator<=>(const store_position &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_STORE_POSITION_H
