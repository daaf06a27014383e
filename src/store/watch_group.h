#ifndef BRIARPOINT_STORE_WATCH_GROUP_H
#define BRIARPOINT_STORE_WATCH_GROUP_H

#include "base/random_source.h"
#include "store/revision_reader.h"
#include "store/scheduler.h"
#include "store/store_era.h"

#include <deque>
#include <vector>

namespace briarpoint {

class object_watcher;

/// The watchers of one store in a process.
///
/// Long watches are stale reads, which are cheap but may report a change seconds late. Therefore
/// the group reads the store's revision at an interval, and each watcher checks that it has
/// received the changes up to it.
///
/// When the connection of a waiting watch ends, the other watchers are notified, because one that
/// was between two watches at that time did not see that the store cut them.
///
/// When the store's era rises, all watchers list anew.
class watch_group final : private era_listener {
public:
  /// \p Interval is the time between the end of a read of the store's revision and the next one. A
  /// random part of up to a tenth is subtracted, so that balancers don't read at the same time. The
  /// references must outlive the object.
  watch_group(duration Interval, revision_reader &Reader, store_era &Era, scheduler &Scheduler,
              random_source &Random)
      : Interval(Interval), Reader(Reader), Era(Era), Scheduler(Scheduler), Random(Random) {
    Era.join(*this);
  }
  watch_group(const watch_group &) = delete;
  watch_group &operator=(const watch_group &) = delete;

  /// \p Watcher must outlive the last call of the other functions.
  void join(object_watcher &Watcher) { Watchers.push_back(&Watcher); }

  /// The connection of \p Reporter ended while its watch waited. Invalidates the positions of the
  /// other watchers.
  void reportInterruption(const object_watcher &Reporter) const;

  /// Call it after a failed call. Returns whether \p Watcher is to retry now; otherwise another one
  /// retries, and \p Watcher is notified when that one succeeds or fails. The watchers take turns,
  /// because one may fail for a reason of its own while the store answers.
  bool claimRetry(object_watcher &Watcher);
  /// Retries that have failed since the store answered the last one.
  std::uint32_t failedRetries() const { return FailedRetries; }
  /// The store answered a call of \p Watcher. If that one was retrying, the others retry now.
  void releaseRetry(const object_watcher &Watcher);

  store_era &era() { return Era; }

  /// The store's revision that was read last, and when; 0 before the first read that succeeded.
  std::uint64_t storeRevision() const { return StorePosition.Revision; }
  instant revisionReadAt() const { return RevisionReadAt; }
  /// The last read failed, so the store can't be reached.
  bool readFailed() const { return ReadFailed; }
  /// When the last read was requested; instant{} before the first one.
  instant revisionRequestedAt() const { return RevisionRequestedAt; }

  /// Reads the store's revision now, and from then on at the interval, and reports it to all
  /// watchers. Does nothing if a read is in progress.
  void readRevision();

private:
  void onEraRose(std::uint64_t Previous, std::uint64_t Current) override;
  void onRemoteRise(instant RoseAt) override;
  void finishRead(std::optional<store_position> Position);

  duration Interval;
  revision_reader &Reader;
  store_era &Era;
  scheduler &Scheduler;
  random_source &Random;
  std::vector<object_watcher *> Watchers;
  bool ReadInProgress = false;
  bool ReadFailed = false;
  store_position StorePosition;
  instant RevisionReadAt{};
  instant RevisionRequestedAt{};
  /// The watcher whose failed call is retried; nullptr if there is none.
  const object_watcher *RetryOwner = nullptr;
  std::uint32_t FailedRetries = 0;
  /// Watchers whose calls failed while another one was retrying, in the order of their turns.
  std::deque<object_watcher *> WaitingForRetry;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_WATCH_GROUP_H
