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
  RiseKnown = true;
  for (era_listener *Listener : Listeners)
    Listener->onEraRose(Previous, Era);
  return era_observation::Rose;
}

void store_era::learnRise(instant RoseAt) {
  if (std::exchange(RiseKnown, true))
    return;
  for (era_listener *Listener : Listeners)
    Listener->onRiseLearned(RoseAt);
}

} // namespace briarpoint
