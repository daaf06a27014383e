#include "store/object_watcher.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

object_watcher::object_watcher(std::string Kind, const object_watcher_settings &Settings,
                               object_api &Api, object_listener &Listener, call_listener &Calls,
                               watch_group &Group, scheduler &Scheduler, random_source &Random)
    : Kind(std::move(Kind)), Settings(Settings), Api(Api), Listener(Listener), Calls(Calls),
      Group(Group), Scheduler(Scheduler), Random(Random) {
  Group.join(*this);
}

void object_watcher::start() { startList(); }

void object_watcher::callAfter(duration Delay) {
  Scheduler.runAt(Scheduler.now() + Delay, [this] {
    if (NextKind == call_kind::List)
      startList();
    else
      startWatch();
  });
}

void object_watcher::refresh() {
  const instant Now = Scheduler.now();
  // A list in progress, or a call that is due after a failure, does the same.
  if (!Calling || NextKind == call_kind::List || Now < NextRefreshAt)
    return;
  NextRefreshAt = Now + Settings.RefreshInterval;
  Confirmed = false;
  Refreshing = true;
  restartWatch();
}

void object_watcher::distrust() {
  const bool WaitsLong = Calling && NextKind == call_kind::Watch && Confirmed;
  Confirmed = false;
  if (!WaitsLong)
    return;
  // The watch will be cut, too, unless it was asked just after that.
  Scheduler.runAt(Scheduler.now() + Settings.ProbeWait, [this, Number = CallNumber] {
    if (inProgress(Number))
      restartWatch();
  });
}

void object_watcher::restartWatch() {
  Api.cancel();
  Calls.onDropped(Call);
  startWatch();
}

void object_watcher::noteAsked(store_call_type Type, std::uint64_t FromRevision, duration Wait) {
  const instant Now = Scheduler.now();
  Calling = true;
  Checked = false;
  CheckedRevision = Revision;
  ++CallNumber;
  Call = {Type, FromRevision, Now, Now + Wait};
  Calls.onAsked(Call);
}

void object_watcher::startList() {
  noteAsked(ListFreshness == read_consistency::Stale ? store_call_type::StaleList
                                                     : store_call_type::List,
            0, duration::zero());
  ++(ListFreshness == read_consistency::Stale ? Counters.StaleLists : Counters.Lists);
  const std::string After = Pages.empty() ? "" : Pages.back().Name;
  Api.list(Kind, After, ListFreshness,
           [this](list_answer Answer) { finishList(std::move(Answer)); });
  if (Revision != 0) {
    startCheck();
    return;
  }
  // Until the first list nothing is forwarded, so nothing can go wrong by old data; at a start, the
  // check is made only if the list isn't answered soon.
  checkAfter(Settings.ProbeWait);
}

void object_watcher::startWatch() {
  ++Counters.Watches;
  const duration Wait = Confirmed ? Settings.Wait : Settings.ProbeWait;
  const auto Jitter =
      static_cast<duration::rep>(Random.below(static_cast<std::uint64_t>(Wait.count() / 10 + 1)));
  noteAsked(store_call_type::Watch, Revision, Wait - duration(Jitter));
  Api.watch(Kind, Revision, Wait - duration(Jitter),
            [this](const watch_answer &Answer) { finishWatch(Answer); });
  // The end of a short watch tells as much as a check.
  if (Confirmed)
    startCheck();
}

void object_watcher::startCheck() {
  ++Counters.Checks;
  Api.check(Kind, CheckedRevision, [this, Number = CallNumber](const watch_answer &Answer) {
    finishCheck(Number, Answer);
  });
}

void object_watcher::checkAfter(duration Delay) {
  Scheduler.runAt(Scheduler.now() + Delay, [this, Number = CallNumber] {
    if (inProgress(Number))
      startCheck();
  });
}

void object_watcher::finishCheck(std::uint64_t Number, const watch_answer &Answer) {
  if (!inProgress(Number))
    return;
  const bool HistoryGone = Answer.Outcome == call_outcome::HistoryGone;
  const bool Answered = HistoryGone || Answer.Outcome == call_outcome::Done;
  if (!Answered && !Checked) {
    Api.cancel();
    Calling = false;
    Calls.onAnswered(Call, call_outcome::Unconfirmed, 0, 0);
    fail(call_outcome::Unconfirmed);
    return;
  }
  Checked = true;
  // A watch that is distrusted is asked again already.
  if (Call.Type != store_call_type::Watch || !Confirmed)
    return;
  CheckedRevision = std::max(CheckedRevision, Answer.Revision);
  // The answer to the watch may be on its way.
  if (HistoryGone || !Answer.Changes.empty())
    distrust();
  else
    checkAfter(Answered ? Settings.CheckInterval : Settings.ProbeWait);
}

void object_watcher::finishList(list_answer Answer) {
  Calling = false;
  Calls.onAnswered(Call, Answer.Outcome, Answer.Revision, Answer.Objects.size());
  // The pages read so far stay valid: the watch starts from the revision of the oldest one.
  if (Answer.Outcome != call_outcome::Done) {
    fail(Answer.Outcome);
    return;
  }
  // Watching from the revision of the oldest page misses nothing of the others. That is the first
  // one, unless pages are stale.
  PagesRevision = Pages.empty() ? Answer.Revision : std::min(PagesRevision, Answer.Revision);
  std::move(Answer.Objects.begin(), Answer.Objects.end(), std::back_inserter(Pages));
  succeed();
  if (Answer.HasMore && !Answer.Objects.empty()) {
    startList();
    return;
  }
  const std::vector<stored_object> Objects = std::exchange(Pages, {});
  // A stale list may be older than what is known already.
  if (PagesRevision < Revision) {
    listNext();
    return;
  }
  Revision = PagesRevision;
  Confirmed = ListFreshness == read_consistency::Linearizable;
  NextKind = call_kind::Watch;
  Listener.onList(Objects, Revision);
  if (Confirmed)
    noteComplete();
  callAfter(duration::zero());
}

void object_watcher::finishWatch(const watch_answer &Answer) {
  Calling = false;
  Calls.onAnswered(Call, Answer.Outcome, Answer.Revision, Answer.Changes.size());
  if (Answer.Outcome == call_outcome::HistoryGone) {
    ++Counters.Outcomes[static_cast<std::size_t>(Answer.Outcome)];
    listNext();
    return;
  }
  if (Answer.Outcome != call_outcome::Done) {
    fail(Answer.Outcome);
    return;
  }
  Relists = 0;
  // A short watch without changes may have missed some; the next one asks for them again.
  if (std::exchange(Confirmed, true) || !Answer.Changes.empty())
    Revision = std::max(Revision, Answer.Revision);
  succeed();
  if (!Answer.Changes.empty()) {
    Listener.onChanges(Answer.Changes, Revision);
    noteComplete();
    callAfter(Settings.Gather);
  } else if (Refreshing) {
    listNext();
  } else {
    callAfter(duration::zero());
  }
}

void object_watcher::listNext() {
  NextKind = call_kind::List;
  ListFreshness = read_consistency::Linearizable;
  callAfter(Relists == 0 ? duration::zero() : pauseBeforeRetry(Settings.Backoff, Relists - 1));
  ++Relists;
}

duration object_watcher::pauseBeforeRetry(const backoff_settings &Backoff, std::uint32_t Retry) {
  const instant Now = Scheduler.now();
  return *nextRetry(Backoff, Retry, Now, Never, Random) - Now;
}

void object_watcher::noteComplete() {
  CompleteAt = Scheduler.now();
  Refreshing = false;
}

void object_watcher::fail(call_outcome Outcome) {
  ++Counters.Outcomes[static_cast<std::size_t>(Outcome)];
  Confirmed = false;
  if (Failures++ == 0)
    Listener.onContact(false, Outcome);
  // A call that reached its time limit says nothing about the watches of others.
  if (Outcome == call_outcome::Unanswered && Scheduler.now() < Call.WaitsUntil)
    Group.reportInterruption(*this);
  callAfter(
      pauseBeforeRetry(Revision == 0 ? Settings.FirstBackoff : Settings.Backoff, Failures - 1));
}

void object_watcher::succeed() {
  AnsweredAt = Scheduler.now();
  ++Counters.Outcomes[static_cast<std::size_t>(call_outcome::Done)];
  if (std::exchange(Failures, 0) > 0)
    Listener.onContact(true, call_outcome::Done);
}

} // namespace briarpoint
