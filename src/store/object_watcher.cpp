#include "store/object_watcher.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

object_watcher::object_watcher(std::string Kind, const object_watcher_settings &Settings,
                               object_api &Api, object_listener &Listener,
                               call_listener &CallListener, watch_group &Group,
                               scheduler &Scheduler, random_source &Random)
    : Kind(std::move(Kind)), Settings(Settings), Api(Api), Listener(Listener),
      CallListener(CallListener), Group(Group), Scheduler(Scheduler), Random(Random),
      ListConsistency(Settings.FirstListConsistency) {
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
  // A list in progress, a retry after a failure or an answer that arrives has the same effect.
  if (!CallInProgress || Phase == phase::List || Now < NextRefreshAt || isAnswerArriving())
    return;
  NextRefreshAt = Now + Settings.RefreshInterval;
  PositionConfirmed = false;
  AwaitsRevision = false;
  RefreshPending = true;
  restartWatch();
}

void object_watcher::invalidatePosition() {
  const bool ShortWatchWaits = CallInProgress && Phase == phase::Watch && !isPositionUsable();
  if (Phase == phase::List || ShortWatchWaits)
    return;
  PositionConfirmed = false;
  AwaitsRevision = true;
  // The store cuts this watch, too, unless it was sent just after the others were cut.
  if (CallInProgress)
    scheduleRestart(WatchConsistency);
}

void object_watcher::scheduleRestart(read_consistency Consistency) {
  RestartScheduled = true;
  Scheduler.runAt(Scheduler.now() + Settings.ProbeTimeout,
                  [this, Consistency, Number = CallNumber] {
                    if (!isInProgress(Number))
                      return;
                    if (isAnswerArriving()) {
                      scheduleRestart(Consistency);
                      return;
                    }
                    WatchConsistency = Consistency;
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
  Batching = false;
  RestartScheduled = false;
  CheckAnswered = false;
  ReceivedBytes = 0;
  CheckedPosition = Position;
  ++CallNumber;
  Call = {Type, FromRevision, Now, Now + Wait};
  CallListener.onCallSent(Call);
}

void object_watcher::startList() {
  beginCall(ListConsistency == read_consistency::Stale ? store_call_type::StaleList
                                                       : store_call_type::List,
            0, duration::zero());
  ++(ListConsistency == read_consistency::Stale ? Counters.StaleLists : Counters.Lists);
  if (ListedObjects.empty()) {
    LastListedName.clear();
    ListBeganAt = Call.SentAt;
    HasStalePage = false;
  }
  HasStalePage = HasStalePage || ListConsistency == read_consistency::Stale;
  Api.list(Kind, LastListedName, ListConsistency,
           [this](list_answer Answer) { finishList(std::move(Answer)); });
  if (Position.Revision != 0) {
    startCheck();
    return;
  }
  // Nothing is forwarded before the first list, so stale data can do no harm yet. The check is sent
  // only if the list is not answered within ProbeTimeout.
  scheduleCheck(Settings.ProbeTimeout);
}

void object_watcher::startWatch() {
  const bool Long = isPositionUsable();
  SentConsistency = Long ? WatchConsistency : read_consistency::Linearizable;
  const bool Stale = SentConsistency == read_consistency::Stale;
  ++(Stale ? Counters.StaleWatches : Counters.Watches);
  const duration Wait = Long ? Settings.WatchTimeout : Settings.ProbeTimeout;
  const auto Jitter =
      static_cast<duration::rep>(Random.below(static_cast<std::uint64_t>(Wait.count() / 10 + 1)));
  beginCall(Stale ? store_call_type::StaleWatch : store_call_type::Watch, Position.Revision,
            Wait - duration(Jitter));
  Api.watch(Kind, Position.Revision, Wait - duration(Jitter), SentConsistency,
            [this](const watch_answer &Answer) { finishWatch(Answer); });
  // The answer to a short watch shows as much as a check. A watch from a confirmed position is
  // checked when the store's revision shows that there were changes.
  if (AwaitsRevision) {
    Group.readRevision();
    scheduleCheck(Settings.ProbeTimeout);
  } else if (Long && Position < StorePosition) {
    startCheck();
  }
}

bool object_watcher::isAnswerArriving() {
  const std::size_t Received = Api.receivedBytes();
  if (Received > ReceivedBytes) {
    ReceivedBytes = Received;
    StalledAt = Scheduler.now() + Settings.StallTimeout;
  }
  return ReceivedBytes > 0 && Scheduler.now() < StalledAt;
}

void object_watcher::startCheck() {
  // An answer that arrives shows as much as a check, which would request the same content.
  if (isAnswerArriving()) {
    scheduleCheck(Settings.ProbeTimeout);
    return;
  }
  ++Counters.Checks;
  Api.check(
      Kind, CheckedPosition.Revision,
      [this, Number = CallNumber](const watch_answer &Answer) { finishCheck(Number, Answer); });
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
  CallListener.onCheckEnded(CheckedPosition, Answer);
  const era_observation Era = observeEra(Answer.Outcome, Answer.Era);
  if (Era == era_observation::Rose)
    return;
  const bool Current = Era == era_observation::Current;
  const bool HistoryGone = Current && Answer.Outcome == call_outcome::HistoryGone;
  const bool Answered = HistoryGone || Answer.Outcome == call_outcome::TooLarge ||
                        (Current && Answer.Outcome == call_outcome::Done);
  if (!Answered && isAnswerArriving()) {
    if (!RestartScheduled)
      scheduleCheck(Settings.ProbeTimeout);
    return;
  }
  if (!Answered && !CheckAnswered) {
    Api.cancel();
    CallInProgress = false;
    CallListener.onCallEnded(Call, call_outcome::Unconfirmed, 0, 0);
    handleFailure(call_outcome::Unconfirmed);
    return;
  }
  CheckAnswered = CheckAnswered || Answered;
  // A watch after a failure may wait for many seconds before it is answered itself.
  if (Answered)
    markInContact();
  // A watch whose position is invalid is being restarted already.
  if (Phase != phase::Watch || !isPositionUsable())
    return;
  if (HistoryGone) {
    Api.cancel();
    CallInProgress = false;
    CallListener.onCallEnded(Call, call_outcome::HistoryGone, 0, 0);
    scheduleList();
    return;
  }
  if (RestartScheduled || isAnswerArriving())
    return;
  if (Answered)
    compareWithCheck(Answer);
  else
    scheduleCheck(Settings.ProbeTimeout);
}

void object_watcher::compareWithCheck(const watch_answer &Check) {
  // An answer that is too large has changes.
  if (!Check.Changes.empty() || Check.Outcome == call_outcome::TooLarge) {
    // The changes aren't reported yet, so CheckedPosition stays. The answer to the watch may be in
    // transit, so the watch is not restarted at once. If it isn't, its replica may be behind that
    // of the check.
    PositionConfirmed = false;
    AwaitsRevision = true;
    scheduleRestart(read_consistency::Linearizable);
    return;
  }
  CheckedPosition = std::max(CheckedPosition, Check.position());
  if (CheckedPosition < StorePosition) {
    if (SentConsistency == read_consistency::Stale)
      leaveStaleWatch();
  } else {
    WatchConsistency = read_consistency::Stale;
    if (StorePosition.Revision != 0) {
      confirmPosition();
      markUpToDate(RevisionRequestedAt);
    }
  }
}

void object_watcher::leaveStaleWatch() {
  WatchConsistency = read_consistency::Linearizable;
  PositionConfirmed = false;
  AwaitsRevision = false;
  restartWatch();
}

void object_watcher::confirmPosition() {
  PositionConfirmed = true;
  AwaitsRevision = false;
}

void object_watcher::onRevisionRead(std::optional<store_position> Read, instant RequestedAt) {
  if (Read) {
    StorePosition = *Read;
    RevisionRequestedAt = RequestedAt;
    if (Position >= StorePosition)
      markUpToDate(RequestedAt);
  }
  if (Batching && Position < StorePosition) {
    scheduleCall(duration::zero());
    return;
  }
  // The next watch begins with a check if it is behind. A list or a short watch is linearizable.
  if (!CallInProgress || Phase != phase::Watch || !isPositionUsable() || RestartScheduled ||
      isAnswerArriving())
    return;
  if (!Read && AwaitsRevision)
    leaveStaleWatch();
  else if (AwaitsRevision && !CheckAnswered)
    return; // The check that confirms the position is scheduled.
  else if (!Read || CheckedPosition < StorePosition)
    startCheck();
  else {
    confirmPosition();
    markUpToDate(RequestedAt);
  }
}

era_observation object_watcher::observeEra(call_outcome Outcome, std::uint64_t Era) {
  const bool ShowsState = Outcome == call_outcome::Done || Outcome == call_outcome::HistoryGone;
  return ShowsState ? Group.era().observe(Era) : era_observation::Current;
}

void object_watcher::listAgain() {
  if (CallNumber == 0)
    return;
  if (CallInProgress) {
    Api.cancel();
    CallInProgress = false;
    CallListener.onCallDropped(Call);
  }
  const instant Now = Scheduler.now();
  RecoveryEndsAt = Now + Settings.RecoveryTime;
  Batching = false;
  PositionConfirmed = false;
  AwaitsRevision = false;
  ListedObjects.clear();
  // What was read before is of the lower era.
  StorePosition = {};
  ListsSinceLastWatch = 0;
  Listener.onEraRose(RecoveryEndsAt);
  scheduleList();
}

void object_watcher::beginRecovery(instant RoseAt) {
  const instant EndsAt = RoseAt + Settings.RecoveryTime;
  if (Scheduler.now() >= EndsAt)
    return;
  RecoveryEndsAt = EndsAt;
  if (UpToDateAt >= RoseAt)
    UpToDateAt = {};
  Listener.onEraRose(RecoveryEndsAt);
}

void object_watcher::finishList(list_answer Answer) {
  CallInProgress = false;
  CallListener.onCallEnded(Call, Answer.Outcome, Answer.Revision, Answer.Objects.size());
  const era_observation Era = observeEra(Answer.Outcome, Answer.Era);
  if (Era == era_observation::Rose)
    return;
  if (Era == era_observation::Outdated) {
    ListConsistency = read_consistency::Linearizable;
    handleFailure(call_outcome::OutdatedEra);
    return;
  }
  // The pages read so far stay valid, so the retry continues after the last one.
  if (Answer.Outcome != call_outcome::Done) {
    handleFailure(Answer.Outcome);
    return;
  }
  // A watch from the revision of the oldest page misses no change of the others. The oldest page is
  // the first one unless the pages are stale.
  OldestPage = ListedObjects.empty() ? Answer.position() : std::min(OldestPage, Answer.position());
  std::move(Answer.Objects.begin(), Answer.Objects.end(), std::back_inserter(ListedObjects));
  LastListedName = std::move(Answer.LastName);
  handleSuccess();
  if (Answer.HasMore && !Answer.Objects.empty()) {
    startList();
    return;
  }
  const std::vector<stored_object> Objects = std::exchange(ListedObjects, {});
  // A stale list may be older than what was reported already.
  if (OldestPage < Position) {
    scheduleList();
    return;
  }
  Position = OldestPage;
  PositionConfirmed = !HasStalePage;
  AwaitsRevision = !PositionConfirmed;
  Phase = phase::Watch;
  Listener.onList(Objects, Position);
  if (PositionConfirmed) {
    markUpToDate(ListBeganAt);
    RefreshPending = false;
  } else if (StorePosition.Revision != 0 && Position >= StorePosition) {
    markUpToDate(RevisionRequestedAt);
  }
  scheduleCall(duration::zero());
}

void object_watcher::finishWatch(const watch_answer &Answer) {
  CallInProgress = false;
  CallListener.onCallEnded(Call, Answer.Outcome, Answer.Revision, Answer.Changes.size());
  const era_observation Era = observeEra(Answer.Outcome, Answer.Era);
  if (Era == era_observation::Rose)
    return;
  if (Era == era_observation::Outdated) {
    handleFailure(call_outcome::OutdatedEra);
    return;
  }
  // A list comes in pages.
  if (Answer.Outcome == call_outcome::HistoryGone || Answer.Outcome == call_outcome::TooLarge) {
    ++Counters.Outcomes[static_cast<std::size_t>(Answer.Outcome)];
    Group.releaseRetry(*this);
    scheduleList();
    return;
  }
  if (Answer.Outcome != call_outcome::Done) {
    handleFailure(Answer.Outcome);
    return;
  }
  ListsSinceLastWatch = 0;
  // A watch without changes may have missed some unless its position is confirmed, so the next
  // watch starts at the same revision.
  if (PositionConfirmed || !Answer.Changes.empty())
    Position = std::max(Position, Answer.position());
  // An empty answer to a long watch doesn't show whether the store has the history after the
  // position. A short watch follows.
  if (AwaitsRevision && Answer.Changes.empty())
    AwaitsRevision = false;
  else
    confirmPosition();
  handleSuccess();
  if (!Answer.Changes.empty()) {
    Listener.onChanges(Answer.Changes, Position);
    // The answer may end before the last change, so only the store's revision proves that nothing
    // is missing.
    if (StorePosition.Revision != 0 && Position >= StorePosition)
      markUpToDate(RevisionRequestedAt);
    if (std::exchange(RefreshPending, false))
      Group.readRevision();
    Batching = true;
    scheduleCall(Position < StorePosition ? duration::zero() : Settings.BatchingDelay);
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

void object_watcher::handleFailure(call_outcome Outcome) {
  ++Counters.Outcomes[static_cast<std::size_t>(Outcome)];
  PositionConfirmed = false;
  AwaitsRevision = Phase == phase::Watch;
  if (ConsecutiveFailures++ == 0)
    Listener.onContactChanged(false, Outcome);
  // A call that timed out does not indicate that the watches of others were cut.
  if (Outcome == call_outcome::Unanswered && Scheduler.now() < Call.WaitEndsAt)
    Group.reportInterruption(*this);
  // One watcher's retries show when the store is back. Calls that are refused are priced, too. A
  // malformed answer, or one that is too large, shows that the store answers.
  const bool Unusable = Outcome == call_outcome::Malformed || Outcome == call_outcome::TooLarge;
  if (Unusable)
    Group.releaseRetry(*this);
  if (Position.Revision == 0)
    scheduleRetry(Settings.StartupBackoff, ConsecutiveFailures - 1);
  else if (Unusable)
    scheduleRetry(Settings.Backoff, ConsecutiveFailures - 1);
  else if (Group.claimRetry(*this))
    scheduleRetry(Settings.Backoff, Group.failedRetries());
}

void object_watcher::scheduleRetry(const backoff_settings &Backoff, std::uint32_t Failed) {
  const duration Delay = retryDelay(Backoff, Failed);
  // The store drops its history shortly after it has cut the watches.
  scheduleCall(AwaitsRevision ? std::max(Delay, Settings.ProbeTimeout) : Delay);
}

void object_watcher::handleSuccess() {
  LastAnswerAt = Scheduler.now();
  ++Counters.Outcomes[static_cast<std::size_t>(call_outcome::Done)];
  markInContact();
}

void object_watcher::markInContact() {
  if (std::exchange(ConsecutiveFailures, 0) > 0)
    Listener.onContactChanged(true, call_outcome::Done);
  Group.releaseRetry(*this);
}

void object_watcher::retryNow() {
  if (!CallInProgress)
    scheduleCall(duration::zero());
}

void object_watcher::retryInTurn() {
  if (!CallInProgress)
    scheduleRetry(Settings.Backoff, Group.failedRetries());
}

} // namespace briarpoint
