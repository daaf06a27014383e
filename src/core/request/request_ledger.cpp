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
    resubmit(Found->second, Now);
    return;
  }
  if (Now >= Submission.Deadline) {
    Listener.answerCaller(Submission.Id, Submission.MayBeDuplicate ? request_answer::Unknown
                                                                   : request_answer::NotRun);
    return;
  }
  entry &Entry = create(Submission, Now);
  if (Entry.Record.MayHaveRun && !Entry.Record.Idempotent)
    giveUp(Entry, Now);
  else
    startAttempt(Entry, Now);
}

request_ledger::entry &request_ledger::create(const request_submission &Submission, instant Now) {
  Budget.recordRequest();
  entry &Entry = Entries[Submission.Id];
  Entry.Own = true;
  Entry.Record.Id = Submission.Id;
  Entry.Record.Class = Submission.Class;
  Entry.Record.Idempotent = Submission.Idempotent;
  // During convergence the owner before may have a record that this one doesn't.
  Entry.Record.MayHaveRun = Submission.MayBeDuplicate && Now < ConvergedAt;
  Entry.Deadline = std::min(Submission.Deadline, Now + Settings.MaxLifetime);
  wakeAt(Entry, Entry.Deadline);
  return Entry;
}

void request_ledger::resubmit(entry &Entry, instant Now) {
  if (Entry.Told) {
    Listener.answerCaller(Entry.Record.Id, *Entry.Told);
    return;
  }
  if (Entry.Own)
    return;
  // Taken over: the record tells what its owner did at least; it may have done more.
  if (Entry.Record.Phase == request_phase::Answered) {
    tell(Entry, request_answer::Ran);
  } else if (Entry.Record.Phase == request_phase::Refused) {
    tell(Entry, Entry.Record.MayHaveRun ? request_answer::Unknown : request_answer::NotRun);
  } else {
    Entry.Record.MayHaveRun = true;
    if (!Entry.Record.Idempotent || Now >= Entry.Deadline) {
      tell(Entry, request_answer::Unknown);
      return;
    }
    Entry.Own = true;
    startAttempt(Entry, Now);
  }
}

void request_ledger::startAttempt(entry &Entry, instant Now) {
  const target_id Target = Listener.chooseTarget(Entry.Record);
  if (Target == NoTarget) {
    retryOrGiveUp(Entry, Now);
    return;
  }
  // The target gets the request when the other owners know of the attempt.
  Entry.Record.Target = Target;
  Entry.Record.Phase = request_phase::Dispatched;
  ++Entry.Record.Attempt;
  Entry.Sent = false;
  wakeAt(Entry, Entry.Deadline);
  replicate(Entry, true, Now);
}

void request_ledger::replicate(entry &Entry, bool Await, instant Now) {
  ++Entry.Record.Revision;
  Entry.Awaited = Await ? Entry.Record.Revision : 0;
  Entry.Record.Remaining = std::max(duration::zero(), Entry.Deadline - Now);
  Listener.replicate(Entry.Record);
}

void request_ledger::handleReplicated(request_id Id, std::uint32_t Revision, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Awaited != Revision || Revision == 0)
    return;
  entry &Entry = Found->second;
  Entry.Awaited = 0;
  if (Entry.Record.Phase == request_phase::Refused) {
    tell(Entry, Entry.Record.MayHaveRun ? request_answer::Unknown : request_answer::NotRun);
    return;
  }
  const bool Known = Entry.Record.MayHaveRun && !Entry.Record.Idempotent;
  if (Entry.Cancelled || Known || Now >= Entry.Deadline) {
    giveUp(Entry, Now);
    return;
  }
  Entry.Sent = true;
  wakeAt(Entry, std::min(Entry.Deadline, Now + Settings.AttemptTimeout));
  Entry.Record.Remaining = Entry.Deadline - Now;
  Listener.sendToTarget(Entry.Record);
}

void request_ledger::handleAnswer(request_id Id, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Record.Phase == request_phase::Answered)
    return;
  entry &Entry = Found->second;
  Entry.Record.Phase = request_phase::Answered;
  Entry.Sent = false;
  wakeAt(Entry, expiry(Entry));
  if (Entry.Own)
    replicate(Entry, false, Now);
  tell(Entry, request_answer::Ran);
}

void request_ledger::handleRefusal(request_id Id, std::uint16_t Attempt, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  // A late refusal of an earlier attempt says nothing about the present one.
  const bool Present = Entry.Own && Entry.Sent && Attempt == Entry.Record.Attempt;
  if (!Present || Entry.Record.Phase != request_phase::Dispatched)
    return;
  Entry.Sent = false;
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
      wakeAt(Entry, *When);
      return;
    }
  }
  giveUp(Entry, Now);
}

void request_ledger::giveUp(entry &Entry, instant Now) {
  Entry.Record.Phase = request_phase::Refused;
  Entry.Sent = false;
  wakeAt(Entry, expiry(Entry));
  // "Not run" is told when the other owners know it too, so that none of them runs a late copy.
  replicate(Entry, !Entry.Record.MayHaveRun, Now);
  if (Entry.Record.MayHaveRun)
    tell(Entry, request_answer::Unknown);
}

void request_ledger::tell(entry &Entry, request_answer Answer) {
  if (Entry.Told == Answer)
    return;
  Entry.Told = Answer;
  Listener.answerCaller(Entry.Record.Id, Answer);
}

bool request_ledger::handleRecord(const request_record &Record, instant Now) {
  const auto [Place, New] = Entries.try_emplace(Record.Id);
  entry &Entry = Place->second;
  if (!New && Entry.Own) {
    // Two owners work on the request, because their views differ.
    if (Record.Phase == request_phase::Answered)
      handleAnswer(Record.Id, Now);
    Entry.Record.MayHaveRun = true;
    return false;
  }
  if (!New && Record.Revision <= Entry.Record.Revision)
    return true;
  // An owner that told its caller "unknown" doesn't go back to claim less.
  const bool MayHaveRun = Record.MayHaveRun || Entry.Record.MayHaveRun;
  const bool Answered = Entry.Record.Phase == request_phase::Answered;
  Entry.Record = Record;
  Entry.Record.MayHaveRun = MayHaveRun;
  if (Answered)
    Entry.Record.Phase = request_phase::Answered;
  Entry.Deadline = Now + Record.Remaining;
  wakeAt(Entry, expiry(Entry));
  return true;
}

void request_ledger::cancel(request_id Id, instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Cancelled)
    return;
  entry &Entry = Found->second;
  Entry.Cancelled = true;
  const bool MayRun = Entry.Record.Phase == request_phase::Dispatched;
  if (MayRun && (Entry.Sent || !Entry.Own))
    Listener.cancelAtTarget(Entry.Record);
  else if (Entry.Own && Entry.Record.Phase == request_phase::Accepted)
    giveUp(Entry, Now);
}

void request_ledger::wakeAt(entry &Entry, instant When) {
  Wakes.erase({Entry.Wake, Entry.Record.Id});
  Entry.Wake = When;
  Wakes.emplace(When, Entry.Record.Id);
}

void request_ledger::wake(entry &Entry, instant Now) {
  if (Now >= expiry(Entry)) {
    Entries.erase(Entry.Record.Id);
    return;
  }
  switch (Entry.Record.Phase) {
  case request_phase::Accepted:
    if (Entry.Own && Now < Entry.Deadline)
      startAttempt(Entry, Now);
    else if (Entry.Own)
      giveUp(Entry, Now);
    return;
  case request_phase::Dispatched:
    if (Entry.Own && Entry.Sent) {
      // No answer: the attempt may have run.
      Entry.Record.MayHaveRun = true;
      if (Entry.Record.Idempotent && Now < Entry.Deadline) {
        Entry.Sent = false;
        retryOrGiveUp(Entry, Now);
      } else {
        wakeAt(Entry, expiry(Entry));
        tell(Entry, request_answer::Unknown);
      }
    } else if (Entry.Own) {
      // The deadline passed before the other owners confirmed.
      giveUp(Entry, Now);
    }
    return;
  case request_phase::Answered:
  case request_phase::Refused:
    wakeAt(Entry, expiry(Entry));
    return;
  }
}

void request_ledger::tick(instant Now) {
  while (!Wakes.empty() && Wakes.begin()->first <= Now) {
    const request_id Id = Wakes.begin()->second;
    Wakes.erase(Wakes.begin());
    const auto Found = Entries.find(Id);
    if (Found == Entries.end())
      continue;
    Found->second.Wake = Never;
    wake(Found->second, Now);
  }
}

} // namespace briarpoint
