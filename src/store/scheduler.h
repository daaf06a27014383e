#ifndef BRIARPOINT_STORE_SCHEDULER_H
#define BRIARPOINT_STORE_SCHEDULER_H

#include "base/instant.h"

#include <functional>

namespace briarpoint {

/// Provides the time and runs one action at a later time. Tests replace it.
class scheduler {
public:
  virtual ~scheduler() = default;

  virtual instant now() = 0;

  /// Runs \p Action at \p Time, never from within this call. Replaces an earlier action that has
  /// not run yet.
  virtual void runAt(instant Time, std::function<void()> Action) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_SCHEDULER_H
