#include "core/request/backoff.h"

namespace briarpoint {

std::optional<instant> nextRetry(const backoff_settings &Settings, std::uint32_t Retry, instant Now,
                                 instant Deadline, random_source &Random) {
  duration Bound = Settings.Base;
  for (std::uint32_t I = 0; I < Retry && Bound < Settings.Limit; ++I)
    Bound *= 2;
  if (Bound > Settings.Limit)
    Bound = Settings.Limit;
  const double Share = Settings.FixedShare + (1 - Settings.FixedShare) * Random.unit();
  const auto Delay = static_cast<duration::rep>(Share * static_cast<double>(Bound.count()));
  // Compared as a difference: the deadline may be Never.
  if (Deadline - Now <= duration(Delay))
    return std::nullopt;
  return Now + duration(Delay);
}

} // namespace briarpoint
