#ifndef BRIARPOINT_CORE_FLOW_COARSE_INSTANT_H
#define BRIARPOINT_CORE_FLOW_COARSE_INSTANT_H

#include "base/instant.h"

namespace briarpoint {

/// A point in time stored in 4 bytes, for the entries of the flow table. The unit is 2^20 ns (about
/// 1 ms). The value wraps around after 52 days, so it must be within 26 days of the time that it is
/// compared with.
class coarse_instant {
public:
  static constexpr duration Unit = duration(1 << 20);

  constexpr coarse_instant() = default;
  constexpr explicit coarse_instant(instant Time) : Units(toUnits(Time)) {}

  /// Whether \p Now is at or after this time.
  constexpr bool isDue(instant Now) const {
    return static_cast<std::int32_t>(toUnits(Now) - Units) >= 0;
  }

  /// Returns the duration from \p Now to this time; negative if this time has passed.
  constexpr duration durationFrom(instant Now) const {
    const auto Difference = static_cast<std::int32_t>(Units - toUnits(Now));
    return duration(static_cast<std::int64_t>(Difference) * (1 << Shift));
  }

  bool operator==(const coarse_instant &) const = default;

private:
  static constexpr unsigned Shift = 20;

  static constexpr std::uint32_t toUnits(instant Time) {
    return static_cast<std::uint32_t>(Time.time_since_epoch().count() >> Shift);
  }

  std::uint32_t Units = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_COARSE_INSTANT_H
