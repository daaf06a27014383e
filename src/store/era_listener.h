#ifndef BRIARPOINT_STORE_ERA_LISTENER_H
#define BRIARPOINT_STORE_ERA_LISTENER_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// Is notified when the store has come back from an older copy.
class era_listener {
public:
  virtual ~era_listener() = default;

  /// An answer of the store showed \p Era, which is above \p Previous, the highest era before.
  virtual void onEraRose(std::uint64_t Previous, std::uint64_t Era) = 0;
  /// Another process saw the rise to the current era at \p RoseAt, before this one had an answer of
  /// the store. What the store has shown since may lack what it lost.
  virtual void onRemoteRise(instant RoseAt) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_ERA_LISTENER_H
