#ifndef BRIARPOINT_STORE_WATCH_GROUP_H
#define BRIARPOINT_STORE_WATCH_GROUP_H

#include <vector>

namespace briarpoint {

class object_watcher;

/// The watchers of one store in a process. When the connection of a waiting watch ends, the other
/// watchers are notified, because one that was between two watches at that time did not see that
/// the store cut them.
class watch_group {
public:
  /// \p Watcher must outlive the last call of reportInterruption().
  void join(object_watcher &Watcher) { Watchers.push_back(&Watcher); }

  /// The connection of \p Reporter ended while its watch waited. Invalidates the positions of the
  /// other watchers.
  void reportInterruption(const object_watcher &Reporter) const;

private:
  std::vector<object_watcher *> Watchers;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_WATCH_GROUP_H
