#ifndef BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H
#define BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H

#include "base/ids.h"
#include "core/data/data_plane_settings.h"
#include "net/endpoint.h"

namespace briarpoint {

/// Settings of the packet task.
struct packet_task_settings {
  member_id Self{};
  /// Where Geneve packets arrive (UDP); port 0 lets the system choose.
  endpoint Data;
  /// Where packets towards callers go, and forward packets come from.
  endpoint Fabric;
  data_plane_settings DataPlane;

  auto operator<=>(const packet_task_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H
