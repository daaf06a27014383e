#ifndef BRIARPOINT_STORE_WATCH_GROUP_H
#define BRIARPOINT_STORE_WATCH_GROUP_H

#include <vector>

namespace briarpoint {

class object_watcher;

/// The watchers of one store in a process. What ends a watch of one of them tells the others, which
/// may have been between two watches at that time and noticed nothing.
class watch_group {
public:
  /// \p Watcher must outlive the group's use.
  void join(object_watcher &Watcher) { Watchers.push_back(&Watcher); }

  /// The connection of \p Reporter ended while a watch waited.
  void reportInterruption(const object_watcher &Reporter) const;

private:
  std::vector<object_watcher *> Watchers;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_WATCH_GROUP_H
