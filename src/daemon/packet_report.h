#ifndef BRIARPOINT_DAEMON_PACKET_REPORT_H
#define BRIARPOINT_DAEMON_PACKET_REPORT_H

#include "core/data/data_plane_counters.h"
#include "core/data/target_observation.h"
#include "core/flow/flow_record.h"
#include "daemon/packet_task_counters.h"
#include "io/mailbox.h"

#include <variant>
#include <vector>

namespace briarpoint {

/// Observations of targets by the data plane.
struct observation_report {
  std::vector<target_observation> Observations;
};

/// Records to send to another balancer.
struct outgoing_records {
  member_id To{};
  std::vector<flow_record> Records;
};

/// The transfer of records to a balancer is complete.
struct transfer_finished {
  member_id To{};
};

/// Counters, sent about once a second.
struct counters_report {
  data_plane_counters DataPlane;
  packet_task_counters Task;
};

/// Answer to request_records.
struct records_report {
  std::uint64_t Request = 0;
  std::vector<flow_record> Records;
};

/// Message from the packet task to the control task.
using packet_report = std::variant<observation_report, outgoing_records, transfer_finished,
                                   counters_report, records_report>;
using packet_reports = mailbox<packet_report>;

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_REPORT_H
