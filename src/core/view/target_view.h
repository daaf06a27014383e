#ifndef BRIARPOINT_CORE_VIEW_TARGET_VIEW_H
#define BRIARPOINT_CORE_VIEW_TARGET_VIEW_H

#include "base/ids.h"
#include "net/endpoint.h"

namespace briarpoint {

/// The properties of a target that the data plane uses.
struct target_view {
  target_id Id{};
  service_id Service{};
  endpoint Tunnel;
  /// Share of new flows relative to the other targets of the service, 0 to 1. Combines health, slow
  /// start and load.
  double Weight = 1.0;
  /// New flows may be assigned to this target.
  bool AcceptsNew = true;
  /// Declared dead: its flows can no longer be served.
  bool Dead = false;

  auto operator<=>(const target_view &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_VIEW_TARGET_VIEW_H
