#ifndef BRIARPOINT_STORE_OBJECT_WATCHER_H
#define BRIARPOINT_STORE_OBJECT_WATCHER_H

#include "base/random_source.h"
#include "core/request/backoff.h"
#include "store/call_listener.h"
#include "store/object_listener.h"
#include "store/scheduler.h"
#include "store/watch_counters.h"
#include "store/watch_group.h"

#include <memory>
#include <string>
#include <vector>

namespace briarpoint {

/// Settings of object_watcher.
struct object_watcher_settings {
  /// Time that a watch waits at the store for a change: the longest that the store allows, because
  /// each watch is one priced call. Up to a tenth is taken off at random, so that balancers don't
  /// call at the same time.
  duration WatchTimeout = std::chrono::seconds(30);
  /// Wait of a watch that confirms the position from which the next one is asked. Longer than the
  /// 60 ms that the platform takes to drop its history after it has cut the watches.
  duration ProbeTimeout = std::chrono::milliseconds(300);
  /// Time between a change and the next watch. Changes come in groups, and each watch that returns
  /// is a priced call; a change may take 3 s to be in force.
  duration BatchingDelay = std::chrono::milliseconds(250);
  /// Time between checks of a watch that waits: the answer to it may have been lost.
  duration CheckInterval = std::chrono::milliseconds(3000);
  /// Least time between two refreshes; each is a priced call.
  duration RefreshInterval = std::chrono::milliseconds(2000);
  /// Pauses after failed calls before the first list, without which nothing can be served, and
  /// after it. Calls that the store refuses are priced, too.
  backoff_settings StartupBackoff{std::chrono::milliseconds(100), std::chrono::milliseconds(1000)};
  backoff_settings Backoff{std::chrono::milliseconds(100), std::chrono::milliseconds(3000)};
};

/// Keeps a listener up to date about all objects of one kind: a list, then watches. After a gap in
/// the store's history it lists again. It never reports an older list than what it reported before.
///
/// A watch without an answer may mean that nothing changed, but other things as well:
/// - The store never received it: a store that hangs keeps connections alive. So each watch that
///   may wait long is followed by a check; if that isn't answered, the watch is dropped as if it
///   had failed. The same holds for a list.
/// - Its answer was lost on a connection that lives on. So checks follow at an interval; one that
///   reports changes which the watch didn't has it asked again.
/// - The history after its revision was dropped when it waited already; the store refuses such a
///   watch only at the next change. So after a stale list, a failure or an interruption, a short
///   watch goes first, and the long one is asked from the same revision.
class object_watcher {
public:
  /// Everything that is referred to must outlive the object.
  object_watcher(std::string Kind, const object_watcher_settings &Settings, object_api &Api,
                 object_listener &Listener, call_listener &CallListener, watch_group &Group,
                 scheduler &Scheduler, random_source &Random);

  /// Makes the first call.
  void start();

  /// Something suggests that changes were missed: asks the store at once, on a new connection,
  /// instead of waiting for the watch in progress. A connection may go silent without an end. If a
  /// watch reports nothing, a list follows. Does nothing for RefreshInterval after the last time.
  void refresh();

  /// The store has cut watches: the next watch confirms the position, and one that goes on waiting
  /// is asked again.
  void invalidatePosition();

  /// When the store answered last.
  instant lastAnswerAt() const { return LastAnswerAt; }

  /// When everything that the store had was known last. An empty answer to a watch doesn't show
  /// that: the store may report nothing for a while before it drops its history.
  instant upToDateAt() const { return UpToDateAt; }

  /// The store's revision up to which everything was reported; 0 before the first list.
  std::uint64_t revision() const { return Revision; }
  const watch_counters &counters() const { return Counters; }

private:
  enum class call_kind : std::uint8_t { List, Watch };

  void beginCall(store_call_type Type, std::uint64_t FromRevision, duration Wait);
  void startList();
  void startWatch();
  /// Drops the watch in progress and asks again.
  void restartWatch();
  void finishList(list_answer Answer);
  void finishWatch(const watch_answer &Answer);
  /// Asks whether the store takes calls in, and has changes that the watch in progress didn't
  /// report.
  void startCheck();
  /// \p Number is that of the call that was checked.
  void finishCheck(std::uint64_t Number, const watch_answer &Answer);
  void scheduleCheck(duration Delay);
  bool isInProgress(std::uint64_t Number) const { return CallInProgress && Number == CallNumber; }
  void scheduleList();
  void markUpToDate();
  duration retryDelay(const backoff_settings &Backoff, std::uint32_t Retry);
  void handleFailure(call_outcome Outcome);
  void handleSuccess();
  void scheduleCall(duration Delay);

  std::string Kind;
  object_watcher_settings Settings;
  object_api &Api;
  object_listener &Listener;
  call_listener &CallListener;
  watch_group &Group;
  scheduler &Scheduler;
  random_source &Random;

  call_kind NextKind = call_kind::List;
  read_consistency ListConsistency = read_consistency::Stale;
  /// Pages of the list in progress, and the revision of the oldest one.
  std::vector<stored_object> ListedObjects;
  std::uint64_t OldestPageRevision = 0;
  std::uint64_t Revision = 0;
  std::uint32_t ConsecutiveFailures = 0;
  /// Lists since a watch was answered.
  std::uint32_t ListsSinceLastWatch = 0;
  bool CallInProgress = false;
  /// The store had the history after Revision when it answered last.
  bool PositionConfirmed = false;
  /// The call in progress, or the last one.
  store_call Call;
  /// The store answered a check since that call was sent.
  bool CheckAnswered = false;
  /// Revision up to which checks found no change; it moves on, so that its history isn't dropped
  /// while a watch waits.
  std::uint64_t CheckedRevision = 0;
  std::uint64_t CallNumber = 0;
  instant NextRefreshAt{};
  instant LastAnswerAt{};
  instant UpToDateAt{};
  /// refresh() asked, and nothing was reported yet.
  bool RefreshPending = false;
  watch_counters Counters;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_OBJECT_WATCHER_H
