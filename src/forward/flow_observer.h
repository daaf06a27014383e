#ifndef BRIARPOINT_FORWARD_FLOW_OBSERVER_H
#define BRIARPOINT_FORWARD_FLOW_OBSERVER_H

#include "base/instant.h"

namespace briarpoint {

/// Receives the latencies that can be inferred from callers' packets.
class flow_observer {
public:
  virtual ~flow_observer() = default;

  /// A caller completed a handshake. \p Latency is the time since its first packet was forwarded.
  virtual void onOpened(duration Latency) = 0;
  /// A caller acknowledged an answer. \p Latency is the time since its last data was forwarded.
  virtual void onAnswered(duration Latency) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_OBSERVER_H
