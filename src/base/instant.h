#ifndef BRIARPOINT_BASE_INSTANT_H
#define BRIARPOINT_BASE_INSTANT_H

#include <chrono>
#include <cstdint>

namespace briarpoint {

/// Clock tag of the core. It has no now() on purpose: the core never reads a clock but gets the
/// time as an `instant`.
struct core_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
  /// Name required by the standard library.
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// A point in time, in nanoseconds since an arbitrary epoch that is fixed within a process.
using instant = core_clock::time_point;

/// A length of time in nanoseconds. State stores deadlines (`instant`); lengths are settings only.
using duration = core_clock::duration;

/// An instant later than any deadline.
inline constexpr instant Never = instant::max();

} // namespace briarpoint

#endif // BRIARPOINT_BASE_INSTANT_H
