#ifndef BRIARPOINT_FORWARD_FLOW_LOCATOR_H
#define BRIARPOINT_FORWARD_FLOW_LOCATOR_H

#include "forward/flow_token.h"

namespace briarpoint {

struct target;

/// Finds the target of a packet that belongs to an open flow.
class flow_locator {
public:
  virtual ~flow_locator() = default;

  /// Returns the target with \p Token, or nullptr if there is none.
  virtual target *findByToken(flow_token Token) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_LOCATOR_H
