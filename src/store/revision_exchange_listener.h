#ifndef BRIARPOINT_STORE_REVISION_EXCHANGE_LISTENER_H
#define BRIARPOINT_STORE_REVISION_EXCHANGE_LISTENER_H

#include "base/instant.h"
#include "net/endpoint.h"
#include "store/revision_message.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace briarpoint {

/// How a question to a reader ended.
enum class revision_answer_outcome : std::uint8_t {
  Answered,
  /// The reader couldn't read the revision.
  Unknown,
  /// No answer within the time limit.
  Unanswered,
  /// The position is below one that was read before. The store's position never decreases, so one
  /// of the two is wrong.
  WentBack,
  /// The era is above the highest one in an answer of the store, which confirms it or not.
  NewEra,
};

inline constexpr std::size_t RevisionAnswerOutcomeCount = 5;

/// Returns the name in logs and metrics.
constexpr std::string_view toString(revision_answer_outcome Outcome) {
  constexpr std::array<std::string_view, RevisionAnswerOutcomeCount> Names{
      "answered", "unknown", "unanswered", "went_back", "new_era"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

/// Sends revision messages to other forwarders.
class revision_sender {
public:
  virtual ~revision_sender() = default;

  /// The message may be lost.
  virtual void send(const endpoint &To, const revision_message &Message) = 0;
};

/// Receives what a revision_exchange does, for logs and metrics.
class revision_exchange_listener {
public:
  virtual ~revision_exchange_listener() = default;

  /// A question to \p Reader ended. \p Revision is 0 unless the outcome is Answered.
  virtual void onQuestionEnded(const endpoint &Reader, revision_answer_outcome Outcome,
                               std::uint64_t Revision, duration Age) = 0;
  /// A question of another forwarder was received. It is dropped unless \p Accepted.
  virtual void onQuestionReceived(bool Accepted) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_REVISION_EXCHANGE_LISTENER_H
