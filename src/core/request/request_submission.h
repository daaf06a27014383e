#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_SUBMISSION_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_SUBMISSION_H

#include "core/request/request_record.h"

namespace briarpoint {

/// A request, as received from a caller.
struct request_submission {
  request_id Id{};
  request_class Class = request_class::Normal;
  /// Running the request twice has the same effect as running it once.
  bool Idempotent = false;
  /// False only if no other balancer can have received this id, for example because the request
  /// arrived on a connection that ends at this balancer and isn't marked as a retry.
  bool MayBeDuplicate = true;
  /// The request must not be started at or after this time.
  instant Deadline{};

  auto operator<=>(const request_submission &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_SUBMISSION_H
