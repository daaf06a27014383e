#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_LISTENER_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_LISTENER_H

#include "core/request/request_answer.h"
#include "core/request/request_record.h"

namespace briarpoint {

/// Receives the actions of a request_ledger. It must not call the ledger back from within a call.
class request_listener {
public:
  virtual ~request_listener() = default;

  /// Picks a target for the next attempt; NoTarget if none takes work. The record's target is that
  /// of the attempt before.
  virtual target_id chooseTarget(const request_record &Record) = 0;

  /// Sends the record to the other owners. When each owner that isn't declared dead has stored it,
  /// request_ledger::handleReplicated follows.
  virtual void replicate(const request_record &Record) = 0;

  /// Sends the request to the record's target, once, over a transport that delivers it at most once
  /// (TCP). The record's remaining time is the deadline to pass on.
  virtual void sendToTarget(const request_record &Record) = 0;

  /// Asks the record's target to stop working on the request.
  virtual void cancelAtTarget(const request_record &Record) = 0;

  /// Tells the caller. A repeated submission gets the answer again.
  virtual void answerCaller(request_id Id, request_answer Answer) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_LISTENER_H
