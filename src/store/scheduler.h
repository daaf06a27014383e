#ifndef BRIARPOINT_STORE_SCHEDULER_H
#define BRIARPOINT_STORE_SCHEDULER_H

#include "base/instant.h"

#include <functional>

namespace briarpoint {

/// Tells the time and runs one action later. Tests replace it.
class scheduler {
public:
  virtual ~scheduler() = default;

  virtual instant now() = 0;

  /// Runs \p Action at \p Time instead of an action that was set before and hasn't run; never from
  /// within the call.
  virtual void runAt(instant Time, std::function<void()> Action) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_SCHEDULER_H
