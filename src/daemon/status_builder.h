#ifndef BRIARPOINT_DAEMON_STATUS_BUILDER_H
#define BRIARPOINT_DAEMON_STATUS_BUILDER_H

#include "core/view/forwarding_view.h"
#include "daemon/daemon_status.h"
#include "daemon/packet_report.h"

#include <unordered_map>

namespace briarpoint {

/// State of the control task that a status is built from.
struct status_sources {
  const configuration &InForce;
  const forwarding_view &View;
  std::vector<member_info> Members;
  std::vector<target_status> Statuses;
  const std::unordered_map<target_id, std::uint32_t> &OpenFlows;
  const counters_report &Counters;
};

/// Builds a status. The first member must be this process. The health of a target is the one that
/// most reporters found; of equally frequent ones, the worst.
daemon_status buildStatus(const status_sources &Sources, bool Ready);

/// State of the process as JSON, without secrets and with at most 1,000 flow records.
std::string dumpJson(const daemon_status &Status, const status_sources &Sources,
                     const std::vector<flow_record> &Records);

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_STATUS_BUILDER_H
