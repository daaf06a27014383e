#ifndef BRIARPOINT_DAEMON_PACKET_COMMAND_H
#define BRIARPOINT_DAEMON_PACKET_COMMAND_H

#include "core/flow/flow_record.h"
#include "core/view/forwarding_view.h"
#include "io/mailbox.h"

#include <memory>
#include <variant>
#include <vector>

namespace briarpoint {

/// Replaces the view of the data plane.
struct apply_view {
  std::shared_ptr<const forwarding_view> View;
};

/// Stores flow records from other balancers.
struct store_records {
  std::vector<flow_record> Records;
};

/// Deletes all flow records, because the process was paused.
struct reset_flows {};

/// Requests a records_report for the state dump.
struct request_records {
  /// Copied to the report.
  std::uint64_t Request = 0;
};

/// Ends the task.
struct end_task {};

/// Message from the control task to the packet task.
using packet_command =
    std::variant<apply_view, store_records, reset_flows, request_records, end_task>;
using packet_commands = mailbox<packet_command>;

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_COMMAND_H
