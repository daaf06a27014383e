#ifndef BRIARPOINT_FORWARDER_FORWARDER_LOG_H
#define BRIARPOINT_FORWARDER_FORWARDER_LOG_H

#include "forward/admission_control.h"
#include "forward/caller_packet.h"
#include "forward/forward_decision.h"
#include "forward/route_table.h"
#include "forward/suspicion_tracker.h"
#include "forward/target_state_tracker.h"
#include "forward/warm_up_limiter.h"
#include "log/event_log.h"
#include "store/object_api.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Logs the decisions that explain a failed request, with the state that led to them: each one
/// other than forwarding the first copy of a packet of an open flow.
class forwarder_log {
public:
  /// Both must outlive the object.
  forwarder_log(event_log &Log, const route_table &Routes) : Log(Log), Routes(Routes) {}

  /// \p RequestId is the id of the request whose head is in the packet; empty if there is none.
  void logDecision(const caller_packet &Packet, const forward_decision &Decision,
                   std::string_view RequestId, instant Now);

  /// \p Size is the size of the malformed packet in bytes.
  void logMalformed(std::size_t Size);

  /// Logs the targets that became suspected, or stopped being suspected.
  void logSuspicionChanges(const suspicion_changes &Changes, instant Now);

  /// Logs the limits of services that differ from those of the last call.
  void logWarmUpShares(std::vector<warm_up_share> Shares);
  /// Logs services whose admission began or ended, or whose level changed by a tenth.
  void logAdmission(const std::vector<admission_status> &Services);
  /// Logs the targets that are dead or fail in part since now, or no longer.
  void logStateChanges(const target_state_changes &Changes, instant Now);

private:
  event_log &Log;
  const route_table &Routes;
  std::vector<warm_up_share> WarmUpShares;
  /// Level of each service whose admission is active, in tenths.
  std::map<std::string, int> AdmissionTenths;
};

/// Logs that the watch of \p Kind lost or regained contact with the store.
void logContactChange(event_log &Log, const std::string &Kind, bool InContact,
                      call_outcome Outcome);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_LOG_H
