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
  /// UDP endpoint that receives Geneve packets. With port 0 the system chooses the port.
  endpoint Data;
  /// Endpoint that packets towards callers are sent to.
  endpoint Fabric;
  /// Outer source addresses of forward packets, with any port: a fabric may vary the source port to
  /// spread its load. Packets from Fabric itself are always accepted.
  std::vector<ip_address> OuterSources;
  data_plane_settings DataPlane;

  auto operator<=>(const packet_task_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_TASK_SETTINGS_H
