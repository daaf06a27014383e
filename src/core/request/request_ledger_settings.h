#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_SETTINGS_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_SETTINGS_H

#include "core/request/backoff.h"

namespace briarpoint {

struct request_ledger_settings {
  /// Longest time between a request's arrival and its deadline. Later deadlines are shortened.
  duration MaxLifetime = std::chrono::seconds(30);
  /// How long an entry is kept after its deadline, for delayed copies of the request and its
  /// answers.
  duration EntryRetention = std::chrono::seconds(60);
  /// Time without an answer after which an attempt counts as lost.
  duration AttemptTimeout = std::chrono::seconds(3);
  /// Allowed retries per request.
  double RetryRatio = 0.1;
  /// Number of unused retries that are kept for later.
  double MaxUnusedRetries = 100.0;
  backoff_settings Backoff;

  auto operator<=>(const request_ledger_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_SETTINGS_H
