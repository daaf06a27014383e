#ifndef BRIARPOINT_DAEMON_TARGET_PROBER_H
#define BRIARPOINT_DAEMON_TARGET_PROBER_H

#include "core/target/probe_result.h"
#include "daemon/control_counters.h"
#include "io/http_client.h"
#include "log/event_log.h"

#include <unordered_set>

namespace briarpoint {

/// Probes the health of targets over HTTP.
class target_prober {
public:
  using callback = std::function<void(const probe_result &)>;

  /// \p ProbeTimeout is the time limit of a probe. The references must outlive the object.
  target_prober(event_loop &Loop, duration ProbeTimeout, control_counters &Counters,
                event_log &Log);

  /// Probes a target. \p Done is called once. While a probe of this target is in flight, the call
  /// has no effect.
  void probe(target_id Target, const endpoint &Health, const callback &Done);

private:
  probe_result evaluateResponse(target_id Target, const endpoint &Health,
                                const std::optional<http_response> &Response);

  duration ProbeTimeout;
  control_counters &Counters;
  event_log &Log;
  http_client Client;
  std::unordered_set<target_id> ProbesInFlight;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_TARGET_PROBER_H
