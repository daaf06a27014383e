#ifndef BRIARPOINT_CORE_FILTER_REJECTION_H
#define BRIARPOINT_CORE_FILTER_REJECTION_H

#include "core/data/packet_output.h"
#include "net/packet_view.h"

namespace briarpoint {

/// Answers a rejected flow setup with RST (TCP) or ICMP administratively prohibited (UDP), which
/// means to the caller that the request was not run, and counts the drop.
void rejectSetup(const packet_view &Setup, drop_reason Reason, packet_output &Output);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_REJECTION_H
