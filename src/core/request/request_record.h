#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_RECORD_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_RECORD_H

#include "base/ids.h"
#include "base/instant.h"
#include "config/request_class.h"

namespace briarpoint {

/// Unique identity of a single request, chosen by the caller. A caller that retries after the
/// answer "not run" must use a new id; otherwise a delayed duplicate could run and make the answer
/// wrong.
enum class request_id : std::uint64_t {};

/// Progress of a request. Later phases replace earlier ones of the same attempt.
enum class request_phase : std::uint8_t {
  /// Nothing was sent to a target in this attempt.
  Accepted,
  /// The attempt may have reached the target.
  Dispatched,
  /// The target answered: the request ran.
  Answered,
  /// The request ended without an answer of a target. Further copies aren't run.
  Refused,
};

/// State of a request, replicated between its owners.
struct request_record {
  request_id Id{};
  request_class Class = request_class::Normal;
  /// Running it twice has the same effect as running it once.
  bool Idempotent = false;
  request_phase Phase = request_phase::Accepted;
  /// Number of attempts so far.
  std::uint16_t Attempt = 0;
  /// Incremented by the owner at each change.
  std::uint32_t Revision = 0;
  /// Target of the present attempt.
  target_id Target{};
  /// Time until the deadline when the record was sent. A duration, because the clocks of processes
  /// differ.
  duration Remaining{};
  /// An attempt may have run although this owner received no answer.
  bool MayHaveRun = false;

  auto operator<=>(const request_record &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_RECORD_H
