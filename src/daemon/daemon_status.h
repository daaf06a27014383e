#ifndef BRIARPOINT_DAEMON_DAEMON_STATUS_H
#define BRIARPOINT_DAEMON_DAEMON_STATUS_H

#include "config/configuration.h"
#include "core/data/data_plane_counters.h"
#include "core/member/member_info.h"
#include "core/target/target_status.h"
#include "daemon/packet_task_counters.h"

#include <string>
#include <vector>

namespace briarpoint {

/// A balancer in the status.
struct member_summary {
  member_info Info;
  bool Suspected = false;
};

/// A target in the status.
struct target_summary {
  std::string Service;
  std::string Name;
  target_health Health = target_health::Healthy;
  double Weight = 1.0;
  bool AcceptsNew = true;
  /// Open flows of which this balancer is first owner.
  std::uint32_t OpenFlows = 0;
};

/// Status of a balancer as operators see it.
struct daemon_status {
  std::string Name;
  std::string DataCentre;
  bool Ready = false;
  config_version Version = 0;
  std::vector<member_summary> Members;
  std::vector<target_summary> Targets;
  data_plane_counters DataPlane;
  packet_task_counters PacketTask;
};

/// JSON object of GET /v1/status.
std::string toJson(const daemon_status &Status);

/// Names that appear in JSON, logs and metrics.
std::string toText(member_state State);
std::string toText(target_health Health);
std::string toText(request_class Class);
std::string toText(drop_reason Reason);

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_DAEMON_STATUS_H
