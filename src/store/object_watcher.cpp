#include "store/object_watcher.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

object_watcher::object_watcher(std::string Kind, const object_watcher_settings &Settings,
                               object_api &Api, object_listener &Listener,
                               call_listener &CallListener, watch_group &Group,
                               scheduler &Scheduler, random_source &Random)
    : Kind(std::move(Kind)), Settings(Settings), Api(Api), Listener(Listener),
      CallListener(CallListener), Group(Group), Scheduler(Scheduler), Random(Random) {
  Group.join(*this);
}

void object_watcher::start() { startList(); }

void object_watcher::scheduleCall(duration Delay) {
  Scheduler.runAt(Scheduler.now() + Delay, [this] {
    if (Phase == phase::List)
      startList();
    else
      startWatch();
  });
}

void object_watcher::refresh() {
  const instant Now = Scheduler.now();
  // A list in progress or a retry after a failure has the same effect.
  if (!CallInProgress || Phase == phase::List || Now < NextRefreshAt)
    return;
  NextRefreshAt = Now + Settings.RefreshInterval;
  PositionConfirmed = false;
  RefreshPending = true;
  restartWatch();
}

void object_watcher::invalidatePosition() {
  const bool LongWatchWaits = CallInProgress && Phase == phase::Watch && PositionConfirmed;
  PositionConfirmed = false;
  if (!LongWatchWaits)
    return;
  // The store cuts this watch, too, unless it was sent just after the others were cut.
  Scheduler.runAt(Scheduler.now() + Settings.ProbeTimeout, [this, Number = CallNumber] {
    if (isInProgress(Number))
      restartWatch();
  });
}

void object_watcher::restartWatch() {
  Api.cancel();
  CallListener.onCallDropped(Call);
  startWatch();
}

void object_watcher::beginCall(store_call_type Type, std::uint64_t FromRevision, duration Wait) {
  const instant Now = Scheduler.now();
  CallInProgress = true;
  CheckAnswered = false;
  CheckedRevision = Revision;
  ++CallNumber;
  Call = {Type, FromRevision, Now, Now + Wait};
  CallListener.onCallSent(Call);
}

void object_watcher::startList() {
  beginCall(ListConsistency == read_consistency::Stale ? store_call_type::StaleList
                                                       : store_call_type::List,
            0, duration::zero());
  ++(ListConsistency == read_consistency::Stale ? Counters.StaleLists : Counters.Lists);
  const std::string After = ListedObjects.empty() ? "" : ListedObjects.back().Name;
  Api.list(Kind, After, ListConsistency,
           [this](list_answer Answer) { finishList(std::move(Answer)); });
  if (Revision != 0) {
    startCheck();
    return;
  }
  // Nothing is forwarded before the first list, so stale data can do no harm yet. The check is sent
  // only if the list is not answered within ProbeTimeout.
  scheduleCheck(Settings.ProbeTimeout);
}

void object_watcher::startWatch() {
  ++Counters.Watches;
  const duration Wait = PositionConfirmed ? Settings.WatchTimeout : Settings.ProbeTimeout;
  const auto Jitter =
      static_cast<duration::rep>(Random.below(static_cast<std::uint64_t>(Wait.count() / 10 + 1)));
  beginCall(store_call_type::Watch, Revision, Wait - duration(Jitter));
  Api.watch(Kind, Revision, Wait - duration(Jitter),
            [this](const watch_answer &Answer) { finishWatch(Answer); });
  // The answer to a short watch shows as much as a check.
  if (PositionConfirmed)
    startCheck();
}

void object_watcher::startCheck() {
  ++Counters.Checks;
  Api.check(Kind, CheckedRevision, [this, Number = CallNumber](const watch_answer &Answer) {
    finishCheck(Number, Answer);
  });
}

void object_watcher::scheduleCheck(duration Delay) {
  Scheduler.runAt(Scheduler.now() + Delay, [this, Number = CallNumber] {
    if (isInProgress(Number))
      startCheck();
  });
}

void object_watcher::finishCheck(std::uint64_t Number, const watch_answer &Answer) {
  if (!isInProgress(Number))
    return;
  const bool HistoryGone = Answer.Outcome == call_outcome::HistoryGone;
  const bool Answered = HistoryGone || Answer.Outcome == call_outcome::Done;
  if (!Answered && !CheckAnswered) {
    Api.cancel();
    CallInProgress = false;
    CallListener.onCallEnded(Call, call_outcome::Unconfirmed, 0, 0);
    handleFailure(call_outcome::Unconfirmed);
    return;
  }
  CheckAnswered = true;
  // A watch whose position is invalid is being restarted already.
  if (Call.Type != store_call_type::Watch || !PositionConfirmed)
    return;
  CheckedRevision = std::max(CheckedRevision, Answer.Revision);
  // The answer to the watch may be in transit, so the watch is not restarted at once.
  if (HistoryGone || !Answer.Changes.empty())
    invalidatePosition();
  else
    scheduleCheck(Answered ? Settings.CheckInterval : Settings.ProbeTimeout);
}

void object_watcher::finishList(list_answer Answer) {
  CallInProgress = false;
  CallListener.onCallEnded(Call, Answer.Outcome, Answer.Revision, Answer.Objects.size());
  // The pages read so far stay valid, so the retry continues after the last one.
  if (Answer.Outcome != call_outcome::Done) {
    handleFailure(Answer.Outcome);
    return;
  }
  // A watch from the revision of the oldest page misses no change of the others. The oldest page is
  // the first one unless the pages are stale.
  OldestPageRevision =
      ListedObjects.empty() ? Answer.Revision : std::min(OldestPageRevision, Answer.Revision);
  std::move(Answer.Objects.begin(), Answer.Objects.end(), std::back_inserter(ListedObjects));
  handleSuccess();
  if (Answer.HasMore && !Answer.Objects.empty()) {
    startList();
    return;
  }
  const std::vector<stored_object> Objects = std::exchange(ListedObjects, {});
  // A stale list may be older than what was reported already.
  if (OldestPageRevision < Revision) {
    scheduleList();
    return;
  }
  Revision = OldestPageRevision;
  PositionConfirmed = ListConsistency == read_consistency::Linearizable;
  Phase = phase::Watch;
  Listener.onList(Objects, Revision);
  if (PositionConfirmed)
    markUpToDate();
  scheduleCall(duration::zero());
}

void object_watcher::finishWatch(const watch_answer &Answer) {
  CallInProgress = false;
  CallListener.onCallEnded(Call, Answer.Outcome, Answer.Revision, Answer.Changes.size());
  if (Answer.Outcome == call_outcome::HistoryGone) {
    ++Counters.Outcomes[static_cast<std::size_t>(Answer.Outcome)];
    scheduleList();
    return;
  }
  if (Answer.Outcome != call_outcome::Done) {
    handleFailure(Answer.Outcome);
    return;
  }
  ListsSinceLastWatch = 0;
  // A short watch without changes may have missed some, so the next watch starts at the same
  // revision.
  if (std::exchange(PositionConfirmed, true) || !Answer.Changes.empty())
    Revision = std::max(Revision, Answer.Revision);
  handleSuccess();
  if (!Answer.Changes.empty()) {
    Listener.onChanges(Answer.Changes, Revision);
    markUpToDate();
    scheduleCall(Settings.BatchingDelay);
  } else if (RefreshPending) {
    scheduleList();
  } else {
    scheduleCall(duration::zero());
  }
}

void object_watcher::scheduleList() {
  Phase = phase::List;
  ListConsistency = read_consistency::Linearizable;
  scheduleCall(ListsSinceLastWatch == 0 ? duration::zero()
                                        : retryDelay(Settings.Backoff, ListsSinceLastWatch - 1));
  ++ListsSinceLastWatch;
}

duration object_watcher::retryDelay(const backoff_settings &Backoff, std::uint32_t Retry) {
  const instant Now = Scheduler.now();
  return *nextRetry(Backoff, Retry, Now, Never, Random) - Now;
}

void object_watcher::markUpToDate() {
  UpToDateAt = Scheduler.now();
  RefreshPending = false;
}

void object_watcher::handleFailure(call_outcome Outcome) {
  ++Counters.Outcomes[static_cast<std::size_t>(Outcome)];
  PositionConfirmed = false;
  if (ConsecutiveFailures++ == 0)
    Listener.onContactChanged(false, Outcome);
  // A call that timed out does not indicate that the watches of others were cut.
  if (Outcome == call_outcome::Unanswered && Scheduler.now() < Call.WaitEndsAt)
    Group.reportInterruption(*this);
  scheduleCall(retryDelay(Revision == 0 ? Settings.StartupBackoff : Settings.Backoff,
                          ConsecutiveFailures - 1));
}

void object_watcher::handleSuccess() {
  LastAnswerAt = Scheduler.now();
  ++Counters.Outcomes[static_cast<std::size_t>(call_outcome::Done)];
  if (std::exchange(ConsecutiveFailures, 0) > 0)
    Listener.onContactChanged(true, call_outcome::Done);
}

} // namespace briarpoint
