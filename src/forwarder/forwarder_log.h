#ifndef BRIARPOINT_FORWARDER_FORWARDER_LOG_H
#define BRIARPOINT_FORWARDER_FORWARDER_LOG_H

#include "forward/caller_packet.h"
#include "forward/forward_decision.h"
#include "forward/route_table.h"
#include "forward/target_registry.h"
#include "log/event_log.h"
#include "store/object_api.h"

#include <set>
#include <string>
#include <string_view>

namespace briarpoint {

/// Writes what explains a request's failure afterwards: each decision other than passing on a
/// packet of an open flow, with what decided it.
class forwarder_log {
public:
  /// Both must outlive the object.
  forwarder_log(event_log &Log, const route_table &Routes) : Log(Log), Routes(Routes) {}

  /// \p RequestId is that of the request whose head the packet carries; may be empty.
  void decision(const caller_packet &Packet, const forward_decision &Decision,
                std::string_view RequestId, instant Now);

  void malformed(std::size_t Size);

  /// Reports which targets became suspected, or are no longer, since the last call.
  void targets(const target_registry &Targets, instant Now);

private:
  event_log &Log;
  const route_table &Routes;
  /// Names of the targets that were reported as suspected.
  std::set<std::string, std::less<>> ReportedSuspects;
};

/// Logs that contact with the store was lost or regained by the watch of a kind.
void logContactChange(event_log &Log, const std::string &Kind, bool InContact,
                      call_outcome Outcome);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_LOG_H
