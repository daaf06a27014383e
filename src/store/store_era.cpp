#include "store/store_era.h"

#include <utility>

namespace briarpoint {

era_observation store_era::observe(std::uint64_t Era) {
  if (!Highest)
    Highest = Era;
  if (Era == *Highest)
    return era_observation::Current;
  if (Era < *Highest)
    return era_observation::Outdated;
  const std::uint64_t Previous = std::exchange(*Highest, Era);
  RiseObserved = true;
  for (era_listener *Listener : Listeners)
    Listener->onEraRose(Previous, Era);
  return era_observation::Rose;
}

void store_era::observeRemoteRise(instant RoseAt) {
  if (std::exchange(RiseObserved, true))
    return;
  for (era_listener *Listener : Listeners)
    Listener->onRemoteRise(RoseAt);
}

} // namespace briarpoint
