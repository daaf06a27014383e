#ifndef BRIARPOINT_CORE_REQUEST_BACKOFF_H
#define BRIARPOINT_CORE_REQUEST_BACKOFF_H

#include "base/instant.h"
#include "base/random_source.h"

#include <optional>

namespace briarpoint {

/// Settings of backoff.
struct backoff_settings {
  /// Upper bound of the first delay; doubled at each further one.
  duration Base = std::chrono::milliseconds(50);
  /// Largest upper bound.
  duration Limit = std::chrono::seconds(2);

  auto operator<=>(const backoff_settings &) const = default;
};

/// Returns when retry number \p Retry (from 0) may start: a uniform share of the exponential bound
/// ("full jitter") after \p Now. Nothing if that isn't before \p Deadline.
std::optional<instant> nextRetry(const backoff_settings &Settings, std::uint32_t Retry, instant Now,
                                 instant Deadline, random_source &Random);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_BACKOFF_H
