#include "daemon/target_prober.h"

#include "daemon/health_response.h"

namespace briarpoint {

namespace {

/// Largest health response; a well-formed one has about 100 bytes.
constexpr std::size_t MaxHealthResponse = 4096;

} // namespace

target_prober::target_prober(event_loop &Loop, duration Limit, control_counters &Counters,
                             event_log &Log)
    : Limit(Limit), Counters(Counters), Log(Log), Client(Loop) {}

void target_prober::probe(target_id Target, const endpoint &Health, const callback &Done) {
  if (!Running.insert(Target).second)
    return;
  outgoing_request Request;
  Request.Server = Health;
  Request.Target = "/health";
  Request.Limit = Limit;
  Request.MaxResponseSize = MaxHealthResponse;
  Counters.SentBytes["probe"] += wireSize(Request);
  Client.send(Request, [this, Target, Health, Done](const std::optional<http_response> &Response) {
    Running.erase(Target);
    Done(judge(Target, Health, Response));
  });
}

probe_result target_prober::judge(target_id Target, const endpoint &Health,
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
