#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_SETTINGS_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_SETTINGS_H

#include "core/request/backoff.h"

namespace briarpoint {

/// Settings of request_ledger.
struct request_ledger_settings {
  /// Longest time between a request's arrival and its deadline; longer deadlines are cut.
  duration MaxLifetime = std::chrono::seconds(30);
  /// How long an entry is kept after its deadline, for late packets.
  duration EntryRetention = std::chrono::seconds(60);
  /// Time without an answer after which an attempt counts as lost.
  duration AttemptTimeout = std::chrono::seconds(3);
  /// Retries per request, and unused retries that are kept.
  double RetryRatio = 0.1;
  double MaxUnusedRetries = 100.0;
  backoff_settings Backoff;

  auto operator<=>(const request_ledger_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_LEDGER_SETTINGS_H
