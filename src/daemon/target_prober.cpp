#include "daemon/target_prober.h"

#include "daemon/health_response.h"

namespace briarpoint {

namespace {

/// Bytes. A well-formed response has about 100 bytes.
constexpr std::size_t MaxHealthResponseSize = 4096;

} // namespace

target_prober::target_prober(event_loop &Loop, duration ProbeTimeout, control_counters &Counters,
                             event_log &Log)
    : ProbeTimeout(ProbeTimeout), Counters(Counters), Log(Log), Client(Loop) {}

void target_prober::probe(target_id Target, const endpoint &Health, const callback &Done) {
  if (!ProbesInFlight.insert(Target).second)
    return;
  outgoing_request Request;
  Request.Server = Health;
  Request.Target = "/health";
  Request.Limit = ProbeTimeout;
  Request.MaxResponseSize = MaxHealthResponseSize;
  Counters.SentBytes["probe"] += wireSize(Request);
  Client.send(Request, [this, Target, Health, Done](const std::optional<http_response> &Response) {
    ProbesInFlight.erase(Target);
    Done(evaluateResponse(Target, Health, Response));
  });
}

probe_result target_prober::evaluateResponse(target_id Target, const endpoint &Health,
                                             const std::optional<http_response> &Response) {
  probe_result Failed;
  Failed.Target = Target;
  if (Response)
    Counters.ReceivedBytes["probe"] += wireSize(*Response);
  if (!Response || Response->Status != 200) {
    ++Counters.Probes["unanswered"];
    return Failed;
  }
  const std::optional<probe_result> Result = parseHealthResponse(Target, Response->Body);
  if (!Result) {
    ++Counters.Probes["malformed"];
    Log.write(log_event::ProbeAnswerMalformed, {{"health", toString(Health)}});
    return Failed;
  }
  ++Counters.Probes["answered"];
  return *Result;
}

} // namespace briarpoint
