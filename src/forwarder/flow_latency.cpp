#include "forwarder/flow_latency.h"

namespace briarpoint {

namespace {

/// Upper bounds in seconds, from a handshake within a data centre to a caller's longest time
/// budget.
prometheus::Histogram::BucketBoundaries boundaries() {
  return {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
}

prometheus::Histogram &addHistogram(prometheus::Registry &Registry, const char *Name,
                                    const char *Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(Registry).Add({},
                                                                                   boundaries());
}

double toSeconds(duration Time) { return std::chrono::duration<double>(Time).count(); }

} // namespace

flow_latency::flow_latency()
    : Opened(addHistogram(Registry, "briarpoint_forwarder_open_seconds",
                          "Time from a caller's first packet to the end of the handshake.")),
      Answered(addHistogram(Registry, "briarpoint_forwarder_answer_seconds",
                            "Time from a caller's data to its acknowledgement of an answer.")) {}

void flow_latency::onOpened(duration Latency) { Opened.Observe(toSeconds(Latency)); }

void flow_latency::onAnswered(duration Latency) { Answered.Observe(toSeconds(Latency)); }

} // namespace briarpoint
