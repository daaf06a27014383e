#ifndef BRIARPOINT_CORE_REQUEST_BACKOFF_H
#define BRIARPOINT_CORE_REQUEST_BACKOFF_H

#include "base/instant.h"
#include "base/random_source.h"

#include <optional>

namespace briarpoint {

/// Settings of the exponential backoff between the attempts of a request or call.
struct backoff_settings {
  /// Upper bound of the first delay. Doubled for each further retry.
  duration Base = std::chrono::milliseconds(50);
  /// The upper bound doesn't grow beyond this.
  duration Limit = std::chrono::seconds(2);
  /// Share of the bound that each delay has at least, from 0 to 1.
  double FixedShare = 0;

  auto operator<=>(const backoff_settings &) const = default;
};

/// Returns when retry number \p Retry (from 0) starts: \p Now plus a share of the exponential bound
/// that is uniformly distributed between FixedShare and 1 ("full jitter" if FixedShare is 0).
/// Returns std::nullopt if that isn't before \p Deadline.
std::optional<instant> nextRetry(const backoff_settings &Settings, std::uint32_t Retry, instant Now,
                                 instant Deadline, random_source &Random);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_BACKOFF_H
