#ifndef BRIARPOINT_CORE_VIEW_TARGET_VIEW_H
#define BRIARPOINT_CORE_VIEW_TARGET_VIEW_H

#include "base/ids.h"
#include "net/endpoint.h"

namespace briarpoint {

/// A target as the data plane needs to know it.
struct target_view {
  target_id Id{};
  service_id Service{};
  endpoint Tunnel;
  /// Share of new flows relative to the other targets of the service, 0 to 1. Includes health, ramp
  /// and load.
  double Weight = 1.0;
  /// May be given new flows.
  bool AcceptsNew = true;
  /// Declared dead: its flows can't be served any more.
  bool Dead = false;

  auto operator<=>(const target_view &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_VIEW_TARGET_VIEW_H
