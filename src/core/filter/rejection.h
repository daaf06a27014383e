#ifndef BRIARPOINT_CORE_FILTER_REJECTION_H
#define BRIARPOINT_CORE_FILTER_REJECTION_H

#include "core/data/packet_output.h"
#include "net/packet_view.h"

namespace briarpoint {

/// Tells the caller that its flow setup was not run (RST, or ICMP administratively prohibited) and
/// counts the drop.
void rejectSetup(const packet_view &Setup, drop_reason Reason, packet_output &Output);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_REJECTION_H
