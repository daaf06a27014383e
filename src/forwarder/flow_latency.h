#ifndef BRIARPOINT_FORWARDER_FLOW_LATENCY_H
#define BRIARPOINT_FORWARDER_FLOW_LATENCY_H

#include "forward/flow_observer.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace briarpoint {

/// Histograms of the targets' handshake and answer times, in seconds.
class flow_latency final : public flow_observer {
public:
  flow_latency();

  void onOpened(duration Latency) override;
  void onAnswered(duration Latency) override;

  prometheus::Registry &registry() { return Registry; }

private:
  prometheus::Registry Registry;
  prometheus::Histogram &Opened;
  prometheus::Histogram &Answered;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FLOW_LATENCY_H
