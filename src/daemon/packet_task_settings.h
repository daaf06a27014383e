#ifndef BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H
#define BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H

#include "base/ids.h"
#include "core/data/data_plane_settings.h"
#include "net/endpoint.h"

#include <vector>

namespace briarpoint {

/// Settings of the packet task.
struct packet_task_settings {
  member_id Self{};
  /// Where Geneve packets arrive (UDP); port 0 lets the system choose.
  endpoint Data;
  /// Where packets towards callers go.
  endpoint Fabric;
  /// Outer source addresses of forward packets, with any port: a fabric may vary the source port to
  /// spread its load. Fabric itself always counts.
  std::vector<ip_address> OuterSources;
  data_plane_settings DataPlane;

  auto operator<=>(const packet_task_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H
