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

/// Decides for single requests whether they may be run, run again, and what their callers are told.
/// Each balancer has one; it holds the requests that this balancer owns and copies of those that
/// others own. A non-idempotent request is run only by the owner that saw it first; an owner that
/// takes over answers from the record and never runs it. Not thread-safe.
class request_ledger {
public:
  /// \p Random and \p Listener must outlive the object.
  request_ledger(const request_ledger_settings &Settings, random_source &Random,
                 request_listener &Listener);

  /// Until \p When, a request without a record here may be known to another balancer. Set it to the
  /// time of the last ownership change plus at least MaxLifetime, or Never while owners can't be
  /// reached. A new ledger is converging until this is called.
  void setConvergedAt(instant When) { ConvergedAt = When; }

  /// Handles a request or a copy of one; this balancer is its owner now.
  void submit(const request_submission &Submission, instant Now);

  /// The other owners have stored the record with this revision.
  void handleReplicated(request_id Id, std::uint32_t Revision, instant Now);

  /// The target answered an attempt: the request ran.
  void handleAnswer(request_id Id, instant Now);

  /// The target refused an attempt without running it.
  void handleRefusal(request_id Id, std::uint16_t Attempt, instant Now);

  /// Stores the record of another owner. Returns false if this balancer works on the request itself
  /// and doesn't confirm what the record claims.
  bool handleRecord(const request_record &Record, instant Now);

  /// The caller isn't interested any more. Passed on to the target.
  void cancel(request_id Id, instant Now);

  /// Runs what is due: retries, attempts that got lost, expiry.
  void tick(instant Now);

  /// Number of entries held.
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    request_record Record;
    instant Deadline{};
    /// When tick() looks at the entry next; Never if it isn't queued.
    instant Wake = Never;
    /// This balancer accepted the request or took it over to run it.
    bool Own = false;
    /// The present attempt was sent to the target.
    bool Sent = false;
    bool Cancelled = false;
    /// Revision whose replication is waited for; 0 if none.
    std::uint32_t Awaited = 0;
    /// What the caller was told last.
    std::optional<request_answer> Told;
  };

  entry &create(const request_submission &Submission, instant Now);
  void resubmit(entry &Entry, instant Now);
  void startAttempt(entry &Entry, instant Now);
  void retryOrGiveUp(entry &Entry, instant Now);
  void giveUp(entry &Entry, instant Now);
  void tell(entry &Entry, request_answer Answer);
  void replicate(entry &Entry, bool Await, instant Now);
  void wakeAt(entry &Entry, instant When);
  void wake(entry &Entry, instant Now);
  instant expiry(const entry &Entry) const { return Entry.Deadline + Settings.EntryRetention; }

  request_ledger_settings Settings;
  random_source &Random;
  request_listener &Listener;
  retry_budget Budget;
  instant ConvergedAt = Never;
  std::unordered_map<request_id, entry> Entries;
  std::set<std::pair<instant, request_id>> Wakes;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_H
