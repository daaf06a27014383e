#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_LISTENER_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_LISTENER_H

#include "core/request/request_answer.h"
#include "core/request/request_record.h"

namespace briarpoint {

/// Carries out the actions of a request_ledger. Must not call the ledger from within these
/// functions.
class request_listener {
public:
  virtual ~request_listener() = default;

  /// Chooses a target for the next attempt; NoTarget if none accepts work. The record holds the
  /// target of the previous attempt.
  virtual target_id chooseTarget(const request_record &Record) = 0;

  /// Sends the record to the other owners. When all owners that aren't declared dead have stored
  /// it, request_ledger::handleReplicated must be called.
  virtual void replicate(const request_record &Record) = 0;

  /// Sends the request to the record's target, once, over a transport that delivers it at most once
  /// (TCP). The record's remaining time is passed on as the deadline.
  virtual void sendToTarget(const request_record &Record) = 0;

  /// Sends the record's target a cancellation of the request.
  virtual void cancelAtTarget(const request_record &Record) = 0;

  /// Sends the answer to the caller. Called again for each duplicate submission.
  virtual void answerCaller(request_id Id, request_answer Answer) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_LISTENER_H
