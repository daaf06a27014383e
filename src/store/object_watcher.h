#ifndef BRIARPOINT_STORE_OBJECT_WATCHER_H
#define BRIARPOINT_STORE_OBJECT_WATCHER_H

#include "base/random_source.h"
#include "core/request/backoff.h"
#include "store/call_listener.h"
#include "store/object_listener.h"
#include "store/scheduler.h"
#include "store/watch_counters.h"
#include "store/watch_group.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarpoint {

/// Settings of object_watcher.
struct object_watcher_settings {
  /// Time for which the store holds a watch without changes. It is the longest that the store
  /// allows, because each watch is a priced call. A random part of up to a tenth is subtracted, so
  /// that balancers don't call at the same time.
  duration WatchTimeout = std::chrono::seconds(30);
  /// Time for which the store holds a short watch, which confirms the position of the following
  /// long one. It must exceed the 60 ms between the moment when the platform cuts the watches and
  /// the moment when it drops its history.
  duration ProbeTimeout = std::chrono::milliseconds(300);
  /// Time without a further part of an answer that has begun to arrive, after which the watcher
  /// checks whether the store still processes calls.
  duration StallTimeout = std::chrono::milliseconds(1500);
  /// Time between a change and the next watch. Changes come in groups, and each watch that returns
  /// is a priced call. A change must be in force within 3 s, so the time ends early when a read of
  /// the store's revision shows that there are further changes: they may be as old as the read
  /// before.
  duration BatchingDelay = std::chrono::milliseconds(250);
  /// Consistency of the first list. A linearizable one proves at once that its objects are current,
  /// for ten times the price.
  read_consistency FirstListConsistency = read_consistency::Stale;
  /// Minimum time between two refreshes; each is a priced call.
  duration RefreshInterval = std::chrono::milliseconds(2000);
  /// Delays after failed calls until the first list was read. They are shorter than later ones,
  /// because nothing can be served before that list.
  backoff_settings StartupBackoff{std::chrono::milliseconds(100), std::chrono::milliseconds(1000)};
  /// Delays after failed calls once the first list was read. Calls that the store refuses are
  /// priced, too, so the delays have a lower bound.
  backoff_settings Backoff{std::chrono::milliseconds(400), std::chrono::milliseconds(3000), 0.5};
  /// Time after the first sight of a rise of the store's era in which the store may lack what it
  /// had acknowledged. The platform specifies that targets write again within about 2 s.
  duration RecoveryTime = std::chrono::milliseconds(2000);
};

/// Reports all objects of one kind and their changes to a listener: first a list, then watches.
/// After a gap in the store's history, a rise of the store's era, and changes that are too large
/// for one answer, it lists again. It never reports a list that is older than what it reported
/// before.
///
/// For RecoveryTime after a rise, nothing that the store answers counts as a proof that the
/// reported state is complete: the store lacks what it lost, and it is written again only then.
///
/// The position of a watch is the revision after which it reports changes. Besides the absence of
/// changes, there are four reasons why a watch may stay without an answer:
/// - The store never received it. A hanging store keeps connections alive. Therefore a check
///   follows each list, and each long watch that is behind the store's revision or whose revision
///   can't be read. If it is not answered, the call is dropped as failed. While a part of the
///   call's own answer arrives, there is no check: it would request the same content.
/// - Its answer was lost on a connection that stays open. Therefore a check is repeated whenever
///   the store's revision (watch_group) shows that there were changes. If the check reports changes
///   that the watch did not report, a linearizable one replaces it.
/// - Long watches are stale, and stale reads may be seconds behind. If a check is behind the
///   store's revision, linearizable watches are used until stale reads have caught up.
/// - The store dropped the history after its position while it waited. The store refuses such a
///   watch only at the next change. Therefore the position is confirmed: after a failure or an
///   interruption by a short linearizable watch, from whose position the long watch starts, and
///   after the first list by the store's revision and a check that reaches it.
class object_watcher {
public:
  /// Everything that is referred to must outlive the object.
  object_watcher(std::string Kind, const object_watcher_settings &Settings, object_api &Api,
                 object_listener &Listener, call_listener &CallListener, watch_group &Group,
                 scheduler &Scheduler, random_source &Random);

  /// Sends the first call.
  void start();

  /// Call it when changes may have been missed. Drops the watch in progress, whose connection may
  /// have gone silent without being closed, and sends a short one on a new connection at once. If
  /// that reports nothing, a list follows. Does nothing within RefreshInterval of the last refresh.
  void refresh();

  /// Call it when the store has cut watches. The next watch confirms the position; a long watch
  /// that still waits after ProbeTimeout is restarted.
  void invalidatePosition();

  /// The store had \p Read at \p RequestedAt or later, when the read was requested; std::nullopt if
  /// that is unknown.
  void onRevisionRead(std::optional<store_position> Read, instant RequestedAt);

  /// The store's era rose. Drops the call in progress and lists at once. Does nothing before
  /// start().
  void listAgain();

  /// The store's era rose at \p RoseAt, before this process started. Nothing that was read since is
  /// a proof until RecoveryTime after that.
  void beginRecovery(instant RoseAt);

  /// The store answers another watcher again. Call it after a failure that the other one retried.
  void retryNow();

  /// The retry of another watcher failed, and this one is to retry next, after a delay.
  void retryInTurn();

  /// When a list or watch last succeeded; instant{} before the first one.
  instant lastAnswerAt() const { return LastAnswerAt; }

  /// Everything that the store had at this time was reported; instant{} before the first proof. It
  /// is the time at which the proving call was sent, since an answer may be delayed. An empty
  /// answer to a watch proves nothing: before the store drops its history, its watches report
  /// nothing for a while.
  instant upToDateAt() const { return UpToDateAt; }

  /// The store's revision up to which everything was reported; 0 before the first list.
  std::uint64_t revision() const { return Position.Revision; }
  const watch_counters &counters() const { return Counters; }

private:
  enum class phase : std::uint8_t { List, Watch };

  void beginCall(store_call_type Type, std::uint64_t FromRevision, duration Wait);
  void startList();
  void startWatch();
  /// Drops the watch in progress and sends another one.
  void restartWatch();
  /// Restarts the watch in progress after ProbeTimeout, as one of \p Consistency, unless it ends
  /// before.
  void scheduleRestart(read_consistency Consistency);
  void finishList(list_answer Answer);
  void finishWatch(const watch_answer &Answer);
  /// Checks that the store processes calls and has no changes that the watch in progress did not
  /// report.
  void startCheck();
  /// A part of the answer to the call in progress has arrived within StallTimeout. Larger answers
  /// take seconds on slow links.
  bool isAnswerArriving();
  /// \p Number is the number of the checked call.
  void finishCheck(std::uint64_t Number, const watch_answer &Answer);
  /// Draws the conclusions from the answer to a check of the long watch in progress.
  void compareWithCheck(const watch_answer &Check);
  void scheduleCheck(duration Delay);
  bool isInProgress(std::uint64_t Number) const { return CallInProgress && Number == CallNumber; }
  /// The watch in progress, or the next one, is a long one.
  bool isPositionUsable() const { return PositionConfirmed || AwaitsRevision; }
  /// Drops a waiting stale watch that may be seconds behind, and uses linearizable ones.
  void leaveStaleWatch();
  void confirmPosition();
  void scheduleList();
  void markUpToDate(instant At) {
    if (At >= RecoveryEndsAt)
      UpToDateAt = std::max(UpToDateAt, At);
  }
  /// Passes on the era of an answer.
  era_observation observeEra(call_outcome Outcome, std::uint64_t Era);
  duration retryDelay(const backoff_settings &Backoff, std::uint32_t Retry);
  /// Schedules the call after \p Failed retries.
  void scheduleRetry(const backoff_settings &Backoff, std::uint32_t Failed);
  void handleFailure(call_outcome Outcome);
  void handleSuccess();
  void markInContact();
  void scheduleCall(duration Delay);

  std::string Kind;
  object_watcher_settings Settings;
  object_api &Api;
  object_listener &Listener;
  call_listener &CallListener;
  watch_group &Group;
  scheduler &Scheduler;
  random_source &Random;

  /// Type of the call in progress, or of the next one if there is none.
  phase Phase = phase::List;
  read_consistency ListConsistency;
  /// Objects of all pages read so far of the list in progress.
  std::vector<stored_object> ListedObjects;
  /// Name after which the next page begins; empty before the first one.
  std::string LastListedName;
  /// Lowest position of these pages.
  store_position OldestPage;
  /// When the call for the first of these pages was sent.
  instant ListBeganAt{};
  /// One of these pages is a stale read.
  bool HasStalePage = false;
  /// The position up to which everything was reported.
  store_position Position;
  std::uint32_t ConsecutiveFailures = 0;
  /// Calls of scheduleList() since a watch last succeeded.
  std::uint32_t ListsSinceLastWatch = 0;
  bool CallInProgress = false;
  /// No call is in progress, because further changes are batched until the next watch.
  bool Batching = false;
  /// The last answer of the store showed that it has the history after Position.
  bool PositionConfirmed = false;
  /// The first list was read, and the store's revision is to confirm the position after it.
  bool AwaitsRevision = false;
  /// Consistency of long watches.
  read_consistency WatchConsistency = read_consistency::Stale;
  /// Consistency of the watch in progress, or of the last one.
  read_consistency SentConsistency = read_consistency::Stale;
  /// Position of the store that was read last in this era.
  store_position StorePosition;
  /// When the last successful read of the store's revision was requested.
  instant RevisionRequestedAt{};
  /// The call in progress, or the last one.
  store_call Call;
  /// The watch in progress is restarted after ProbeTimeout. Until then, the answer to a check
  /// proves nothing: it may come from the time before the store drops its history.
  bool RestartScheduled = false;
  /// The store answered a check after Call was sent.
  bool CheckAnswered = false;
  /// Bytes of the answer to the call in progress that had arrived when it was last looked at.
  std::size_t ReceivedBytes = 0;
  /// When the answer counts as stalled unless a further part arrives.
  instant StalledAt{};
  /// Position up to which checks found no change. It advances with each check, so that the store
  /// still has the history after it while a watch waits.
  store_position CheckedPosition;
  std::uint64_t CallNumber = 0;
  instant NextRefreshAt{};
  instant LastAnswerAt{};
  instant UpToDateAt{};
  /// End of RecoveryTime after the last rise of the era.
  instant RecoveryEndsAt{};
  /// refresh() restarted the watch, and no list or change was reported since.
  bool RefreshPending = false;
  watch_counters Counters;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_OBJECT_WATCHER_H
