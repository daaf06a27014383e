#include "core/filter/rejection.h"

#include "net/packet_builder.h"

namespace briarpoint {

void rejectSetup(const packet_view &Setup, drop_reason Reason, packet_output &Output) {
  Output.drop(Reason);
  Output.sendToCaller((Setup.isTcp() ? buildRstToCaller(Setup) : buildProhibited(Setup)).bytes());
}

} // namespace briarpoint
