#ifndef BRIARPOINT_FORWARD_FLOW_OBSERVER_H
#define BRIARPOINT_FORWARD_FLOW_OBSERVER_H

#include "base/instant.h"

namespace briarpoint {

/// Is told how long targets take, as far as callers' packets show it.
class flow_observer {
public:
  virtual ~flow_observer() = default;

  /// A caller completed a handshake, this long after its first packet was forwarded.
  virtual void onOpened(duration Time) = 0;
  /// A caller acknowledged an answer, this long after its last data was forwarded.
  virtual void onAnswered(duration Time) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_OBSERVER_H
