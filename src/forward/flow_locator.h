#ifndef BRIARPOINT_FORWARD_FLOW_LOCATOR_H
#define BRIARPOINT_FORWARD_FLOW_LOCATOR_H

#include "forward/flow_token.h"

namespace briarpoint {

struct target;

/// Finds the target of a packet that doesn't open a flow.
class flow_locator {
public:
  virtual ~flow_locator() = default;

  /// Returns the target that \p Token names, or nothing if it is unknown.
  virtual target *locate(flow_token Token) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_LOCATOR_H
