#ifndef BRIARPOINT_FORWARD_ROUTING_CONFIGURATION_H
#define BRIARPOINT_FORWARD_ROUTING_CONFIGURATION_H

#include "base/instant.h"
#include "forward/route.h"

namespace briarpoint {

/// A version of the operators' configuration, as far as forwarding needs it.
struct routing_configuration {
  /// Rises with each version; 0 stands for none.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  /// Time without packets after which a flow may be forgotten.
  duration IdleTimeout = std::chrono::seconds(15);

  auto operator<=>(const routing_configuration &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_ROUTING_CONFIGURATION_H
