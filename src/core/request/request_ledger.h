#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_H

#include "base/random_source.h"
#include "core/request/request_ledger_settings.h"
#include "core/request/request_listener.h"
#include "core/request/request_submission.h"
#include "core/request/retry_budget.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace briarpoint {

/// Decides for single requests whether they may be run or run again, and how their callers are
/// answered. Each balancer has one ledger, with the requests that it owns and copies of the records
/// of other owners. A non-idempotent request is run only by the owner that received it first; an
/// owner that takes over answers from the record and never runs it. Not thread-safe.
class request_ledger {
public:
  /// \p Random and \p Listener must outlive the object.
  request_ledger(const request_ledger_settings &Settings, random_source &Random,
                 request_listener &Listener);

  /// Sets the end of convergence. Until then, another balancer may hold a record of a request that
  /// has no record here. \p When must be the time of the last ownership change plus at least
  /// MaxLifetime, or Never while owners can't be reached. A new ledger is converging until this is
  /// called.
  void setConvergedAt(instant When) { ConvergedAt = When; }

  /// Handles a request, or a copy of one, that this balancer owns now.
  void submit(const request_submission &Submission, instant Now);

  /// Handles the confirmation that the other owners have stored the record with this revision.
  void handleReplicated(request_id Id, std::uint32_t Revision, instant Now);

  /// Handles the target's answer to any attempt: the request ran.
  void handleAnswer(request_id Id, instant Now);

  /// Handles the target's refusal of an attempt: it didn't run.
  void handleRefusal(request_id Id, std::uint16_t Attempt, instant Now);

  /// Stores the record of another owner. Returns false if this balancer works on the request
  /// itself; the record must not be confirmed to the other owner then.
  bool handleRecord(const request_record &Record, instant Now);

  /// Cancels a request for its caller. Sends the cancellation to a target that may be working on
  /// it.
  void cancel(request_id Id, instant Now);

  /// Handles due entries: starts retries, ends attempts that timed out, and removes expired
  /// entries.
  void tick(instant Now);

  /// Returns the number of entries.
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    request_record Record;
    instant Deadline{};
    /// When tick() handles the entry next; Never if it isn't in WakeQueue.
    instant WakeAt = Never;
    /// This balancer accepted the request or took it over to run it. False for a copy of another
    /// owner's record.
    bool OwnedHere = false;
    /// The current attempt was sent to the target.
    bool IsSent = false;
    bool Cancelled = false;
    /// Revision whose confirmation by the other owners is awaited; 0 if none.
    std::uint32_t AwaitedRevision = 0;
    /// Last answer sent to the caller.
    std::optional<request_answer> LastAnswer;
  };

  entry &createEntry(const request_submission &Submission, instant Now);
  void handleDuplicate(entry &Entry, instant Now);
  void startAttempt(entry &Entry, instant Now);
  void retryOrGiveUp(entry &Entry, instant Now);
  void giveUp(entry &Entry, instant Now);
  void sendAnswer(entry &Entry, request_answer Answer);
  void replicate(entry &Entry, bool AwaitConfirmation, instant Now);
  void scheduleWake(entry &Entry, instant When);
  void handleWake(entry &Entry, instant Now);
  instant expiresAt(const entry &Entry) const { return Entry.Deadline + Settings.EntryRetention; }

  request_ledger_settings Settings;
  random_source &Random;
  request_listener &Listener;
  retry_budget Budget;
  instant ConvergedAt = Never;
  std::unordered_map<request_id, entry> Entries;
  std::set<std::pair<instant, request_id>> WakeQueue;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_H
