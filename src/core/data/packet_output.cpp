#include "core/data/packet_output.h"

#include <algorithm>

namespace briarpoint {

void packet_output::sendToMember(std::uint32_t Index, handover Handover,
                                 std::span<const std::byte> Packet) {
  if (Handover.Hops >= MaxHandovers) {
    drop(drop_reason::TooManyHops);
    return;
  }
  ++Handover.Hops;
  ++Counters.Handovers;
  Listener.sendToBalancer(View->members()[Index], Handover, Packet);
}

bool packet_output::sendToNextHop(handover Handover, std::span<const std::byte> Packet) {
  while (Handover.RemainingHops[0] != NoMember) {
    const member_view *Next = View->findMember(Handover.RemainingHops[0]);
    std::shift_left(Handover.RemainingHops.begin(), Handover.RemainingHops.end(), 1);
    Handover.RemainingHops.back() = NoMember;
    if (Next == nullptr || Next->Suspected || Next->State == member_state::Dead)
      continue;
    sendToMember(static_cast<std::uint32_t>(Next - View->members().data()), Handover, Packet);
    return true;
  }
  return false;
}

} // namespace briarpoint
