#ifndef BRIARPOINT_FORWARDER_REVISION_EXCHANGE_LOG_H
#define BRIARPOINT_FORWARDER_REVISION_EXCHANGE_LOG_H

#include "forwarder/forwarder_counters.h"
#include "log/event_log.h"
#include "store/revision_exchange_listener.h"

namespace briarpoint {

/// Logs and counts what a revision_exchange does.
class revision_exchange_log final : public revision_exchange_listener {
public:
  /// Both must outlive the object.
  revision_exchange_log(event_log &Log, forwarder_counters &Counters)
      : Log(Log), Counters(Counters) {}

  void onQuestionEnded(const endpoint &Reader, revision_answer_outcome Outcome,
                       std::uint64_t Revision, duration Age) override;
  void onQuestionReceived(bool Accepted) override;

private:
  event_log &Log;
  forwarder_counters &Counters;
  /// The reader and the outcome that were logged last. Only changes are logged.
  endpoint LoggedReader;
  revision_answer_outcome LoggedOutcome = revision_answer_outcome::Unanswered;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_REVISION_EXCHANGE_LOG_H
