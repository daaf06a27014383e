#include "core/request/request_ledger.h"

#include <algorithm>

namespace briarpoint {

request_ledger::request_ledger(const request_ledger_settings &Settings, random_source &Random,
                               request_listener &Listener)
    : Settings(Settings), Random(Random), Listener(Listener),
      Budget(Settings.RetryRatio, Settings.MaxUnusedRetries) {}

void request_ledger::submit(const request_submission &Submission, instant Now) {
  const auto Found = Entries.find(Submission.Id);
  if (Found != Entries.end()) {
    handleDuplicate(Found->second, Now);
    return;
  }
  if (Now >= Submission.Deadline) {
    Listener.answerCaller(Submission.Id, Submission.MayBeDuplicate ? request_answer::Unknown
                                                                   : request_answer::NotRun);
    return;
  }
  entry &Entry = createEntry(Submission, Now);
  if (Entry.Record.MayHaveRun && !Entry.Record.Idempotent)
    giveUp(Entry, Now);
  else
    startAttempt(Entry, Now);
}

request_ledger::entry &request_ledger::createEntry(const request_submission &Submission,
                                                   instant Now) {
  Budget.recordRequest();
  entry &Entry = Entries[Submission.Id];
  Entry.OwnedHere = true;
  Entry.Record.Id = Submission.Id;
  Entry.Record.Class = Submission.Class;
  Entry.Record.Idempotent = Submission.Idempotent;
  // During convergence the previous owner may hold a record that this balancer lacks.
  Entry.Record.MayHaveRun = Submission.MayBeDuplicate && Now < ConvergedAt;
  Entry.Deadline = std::min(Submission.Deadline, Now + Settings.MaxLifetime);
  scheduleWake(Entry, Entry.Deadline);
  return Entry;
}

void request_ledger::handleDuplicate(entry &Entry, instant Now) {
  if (Entry.LastAnswer) {
    Listener.answerCaller(Entry.Record.Id, *Entry.LastAnswer);
    return;
  }
  if (Entry.OwnedHere)
    return;
  // The request is taken over from another owner, which may have progressed further than its
  // record.
  if (Entry.Record.Phase == request_phase::Answered) {
    sendAnswer(Entry, request_answer::Ran);
  } else if (Entry.Record.Phase == request_phase::Refused) {
    sendAnswer(Entry, Entry.Record.MayHaveRun ? request_answer::Unknown : request_answer::NotRun);
  } else {
    Entry.Record.MayHaveRun = true;
    if (!Entry.Record.Idempotent || Now >= Entry.Deadline) {
      sendAnswer(Entry, request_answer::Unknown);
      return;
    }
    Entry.OwnedHere = true;
    startAttempt(Entry, Now);
  }
}

void request_ledger::startAttempt(entry &Entry, instant Now) {
  const target_id Target = Listener.chooseTarget(Entry.Record);
  if (Target == NoTarget) {
    retryOrGiveUp(Entry, Now);
    return;
  }
  // The request is sent to the target after the other owners have stored the attempt.
  Entry.Record.Target = Target;
  Entry.Record.Phase = request_phase::Dispatched;
  ++Entry.Record.Attempt;
  Entry.IsSent = false;
  scheduleWake(Entry, Entry.Deadline);
  replicate(Entry, true, Now);
}

void request_ledger::replicate(entry &Entry, bool AwaitConfirmation, instant Now) {
  ++Entry.Record.Revision;
  Entry.AwaitedRevision = AwaitConfirmation ? Entry.Record.Revision : 0;
  Entry.Record.Remaining = std::max(duration::zero(), Entry.Deadline - Now);
  Listener.replicate(Entry.Record);
}

void request_ledger::handleReplicated(request_id Id, std::uint32_t Revision, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.AwaitedRevision != Revision || Revision == 0)
    return;
  entry &Entry = Found->second;
  Entry.AwaitedRevision = 0;
  if (Entry.Record.Phase == request_phase::Refused) {
    sendAnswer(Entry, Entry.Record.MayHaveRun ? request_answer::Unknown : request_answer::NotRun);
    return;
  }
  const bool MustNotRun = Entry.Record.MayHaveRun && !Entry.Record.Idempotent;
  if (Entry.Cancelled || MustNotRun || Now >= Entry.Deadline) {
    giveUp(Entry, Now);
    return;
  }
  Entry.IsSent = true;
  scheduleWake(Entry, std::min(Entry.Deadline, Now + Settings.AttemptTimeout));
  Entry.Record.Remaining = Entry.Deadline - Now;
  Listener.sendToTarget(Entry.Record);
}

void request_ledger::handleAnswer(request_id Id, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Record.Phase == request_phase::Answered)
    return;
  entry &Entry = Found->second;
  Entry.Record.Phase = request_phase::Answered;
  Entry.IsSent = false;
  scheduleWake(Entry, expiresAt(Entry));
  if (Entry.OwnedHere)
    replicate(Entry, false, Now);
  sendAnswer(Entry, request_answer::Ran);
}

void request_ledger::handleRefusal(request_id Id, std::uint16_t Attempt, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  // A delayed refusal of an earlier attempt doesn't apply to the current one.
  const bool IsCurrent = Entry.OwnedHere && Entry.IsSent && Attempt == Entry.Record.Attempt;
  if (!IsCurrent || Entry.Record.Phase != request_phase::Dispatched)
    return;
  Entry.IsSent = false;
  Entry.Record.Phase = request_phase::Accepted;
  if (Entry.Record.MayHaveRun && !Entry.Record.Idempotent)
    giveUp(Entry, Now);
  else
    retryOrGiveUp(Entry, Now);
}

void request_ledger::retryOrGiveUp(entry &Entry, instant Now) {
  if (!Entry.Cancelled && Budget.tryRetry()) {
    const std::uint32_t Retry = Entry.Record.Attempt > 0 ? Entry.Record.Attempt - 1 : 0;
    const auto When = nextRetry(Settings.Backoff, Retry, Now, Entry.Deadline, Random);
    if (When) {
      Entry.Record.Phase = request_phase::Accepted;
      scheduleWake(Entry, *When);
      return;
    }
  }
  giveUp(Entry, Now);
}

void request_ledger::giveUp(entry &Entry, instant Now) {
  Entry.Record.Phase = request_phase::Refused;
  Entry.IsSent = false;
  scheduleWake(Entry, expiresAt(Entry));
  // "Not run" is sent after the other owners have stored it. Otherwise one of them could run a
  // delayed copy.
  replicate(Entry, !Entry.Record.MayHaveRun, Now);
  if (Entry.Record.MayHaveRun)
    sendAnswer(Entry, request_answer::Unknown);
}

void request_ledger::sendAnswer(entry &Entry, request_answer Answer) {
  if (Entry.LastAnswer == Answer)
    return;
  Entry.LastAnswer = Answer;
  Listener.answerCaller(Entry.Record.Id, Answer);
}

bool request_ledger::handleRecord(const request_record &Record, instant Now) {
  const auto [Position, IsNew] = Entries.try_emplace(Record.Id);
  entry &Entry = Position->second;
  if (!IsNew && Entry.OwnedHere) {
    // Two owners work on the request, because their views differ.
    if (Record.Phase == request_phase::Answered)
      handleAnswer(Record.Id, Now);
    Entry.Record.MayHaveRun = true;
    return false;
  }
  if (!IsNew && Record.Revision <= Entry.Record.Revision)
    return true;
  // MayHaveRun is never reset, because the caller may already have the answer "unknown".
  const bool MayHaveRun = Record.MayHaveRun || Entry.Record.MayHaveRun;
  const bool Answered = Entry.Record.Phase == request_phase::Answered;
  Entry.Record = Record;
  Entry.Record.MayHaveRun = MayHaveRun;
  if (Answered)
    Entry.Record.Phase = request_phase::Answered;
  Entry.Deadline = Now + Record.Remaining;
  scheduleWake(Entry, expiresAt(Entry));
  return true;
}

void request_ledger::cancel(request_id Id, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Cancelled)
    return;
  entry &Entry = Found->second;
  Entry.Cancelled = true;
  const bool MayBeAtTarget = Entry.Record.Phase == request_phase::Dispatched;
  if (MayBeAtTarget && (Entry.IsSent || !Entry.OwnedHere))
    Listener.cancelAtTarget(Entry.Record);
  else if (Entry.OwnedHere && Entry.Record.Phase == request_phase::Accepted)
    giveUp(Entry, Now);
}

void request_ledger::scheduleWake(entry &Entry, instant When) {
  WakeQueue.erase({Entry.WakeAt, Entry.Record.Id});
  Entry.WakeAt = When;
  WakeQueue.emplace(When, Entry.Record.Id);
}

void request_ledger::handleWake(entry &Entry, instant Now) {
  if (Now >= expiresAt(Entry)) {
    Entries.erase(Entry.Record.Id);
    return;
  }
  switch (Entry.Record.Phase) {
  case request_phase::Accepted:
    if (Entry.OwnedHere && Now < Entry.Deadline)
      startAttempt(Entry, Now);
    else if (Entry.OwnedHere)
      giveUp(Entry, Now);
    return;
  case request_phase::Dispatched:
    if (Entry.OwnedHere && Entry.IsSent) {
      // No answer: the attempt may have run.
      Entry.Record.MayHaveRun = true;
      if (Entry.Record.Idempotent && Now < Entry.Deadline) {
        Entry.IsSent = false;
        retryOrGiveUp(Entry, Now);
      } else {
        scheduleWake(Entry, expiresAt(Entry));
        sendAnswer(Entry, request_answer::Unknown);
      }
    } else if (Entry.OwnedHere) {
      // The deadline passed before the other owners confirmed.
      giveUp(Entry, Now);
    }
    return;
  case request_phase::Answered:
  case request_phase::Refused:
    scheduleWake(Entry, expiresAt(Entry));
    return;
  }
}

void request_ledger::tick(instant Now) {
  while (!WakeQueue.empty() && WakeQueue.begin()->first <= Now) {
    const request_id Id = WakeQueue.begin()->second;
    WakeQueue.erase(WakeQueue.begin());
    const auto Found = Entries.find(Id);
    if (Found == Entries.end())
      continue;
    Found->second.WakeAt = Never;
    handleWake(Found->second, Now);
  }
}

} // namespace briarpoint
