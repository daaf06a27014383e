#include "forwarder/revision_exchange_log.h"

namespace briarpoint {

void revision_exchange_log::onQuestionEnded(const endpoint &Reader, revision_answer_outcome Outcome,
                                            std::uint64_t Revision, duration Age) {
  ++Counters.Questions.at(static_cast<std::size_t>(Outcome));
  if (Reader == LoggedReader && Outcome == LoggedOutcome)
    return;
  LoggedReader = Reader;
  LoggedOutcome = Outcome;
  Log.write(log_event::RevisionSourceChanged,
            {{"source", Outcome == revision_answer_outcome::Answered ? "reader" : "store"},
             {"reader", toString(Reader)},
             {"outcome", std::string(toString(Outcome))},
             {"revision", std::to_string(Revision)},
             {"after_ms",
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Age).count())}});
}

void revision_exchange_log::onQuestionReceived(bool Accepted) {
  ++(Accepted ? Counters.AcceptedQuestions : Counters.DroppedQuestions);
}

} // namespace briarpoint
