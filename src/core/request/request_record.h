#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_RECORD_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_RECORD_H

#include "base/ids.h"
#include "base/instant.h"
#include "config/request_class.h"

namespace briarpoint {

/// Identity of a single request, chosen by the caller, unique. A caller that was told "not run" and
/// wants to try again uses a new id, so that a late duplicate can't make the answer wrong.
enum class request_id : std::uint64_t {};

/// How far a request got. Later phases replace earlier ones of the same attempt.
enum class request_phase : std::uint8_t {
  /// Nothing was sent to a target in this attempt.
  Accepted,
  /// The attempt may have reached the target.
  Dispatched,
  /// The target answered: the request ran.
  Answered,
  /// It ended without an answer of a target; further copies aren't run.
  Refused,
};

/// What the owners of a request share about it.
struct request_record {
  request_id Id{};
  request_class Class = request_class::Normal;
  /// Running it twice has the same effect as running it once.
  bool Idempotent = false;
  request_phase Phase = request_phase::Accepted;
  /// Hand-overs to targets so far.
  std::uint16_t Attempt = 0;
  /// Raised by the owner at each change.
  std::uint32_t Revision = 0;
  /// Target of the present attempt.
  target_id Target{};
  /// Time that is left, as of sending; clocks of processes differ.
  duration Remaining{};
  /// Some attempt may have run without this owner knowing it.
  bool MayHaveRun = false;

  auto operator<=>(const request_record &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_RECORD_H
