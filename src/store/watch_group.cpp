#include "store/watch_group.h"

#include "store/object_watcher.h"

namespace briarpoint {

void watch_group::reportInterruption(const object_watcher &Reporter) const {
  for (object_watcher *Watcher : Watchers)
    if (Watcher != &Reporter)
      Watcher->invalidatePosition();
}

} // namespace briarpoint
