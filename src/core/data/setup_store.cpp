#include "core/data/setup_store.h"

namespace briarpoint {

std::uint16_t setup_store::add(const flow_id &Id, std::uint32_t Target,
                               std::span<const std::byte> Packet, instant Now) {
  std::uint16_t Index = 0;
  if (!FreeIndices.empty()) {
    Index = FreeIndices.back();
    FreeIndices.pop_back();
  } else if (Setups.size() < MaxSetups) {
    Index = static_cast<std::uint16_t>(Setups.size());
    Setups.emplace_back();
  } else {
    return NoSetup;
  }
  pending_setup &Setup = Setups[Index];
  Setup.Id = Id;
  Setup.TargetCount = 0;
  Setup.Size = 0;
  if (Packet.size() <= Setup.Packet.size()) {
    std::copy(Packet.begin(), Packet.end(), Setup.Packet.begin());
    Setup.Size = static_cast<std::uint16_t>(Packet.size());
  }
  addTarget(Index, Target, Now);
  return Index;
}

bool setup_store::addTarget(std::uint16_t Index, std::uint32_t Target, instant Now) {
  pending_setup &Setup = Setups[Index];
  if (Setup.TargetCount == pending_setup::MaxTargets)
    return false;
  Setup.Targets[Setup.TargetCount++] = Target;
  // A new generation invalidates the earlier deadline.
  Setup.Generation = NextGeneration++;
  Deadlines.push_back({Now + Timeout, Index, Setup.Generation});
  return true;
}

void setup_store::release(std::uint16_t Index) {
  Setups[Index].Generation = 0;
  FreeIndices.push_back(Index);
}

std::uint16_t setup_store::removeExpired(instant Now) {
  while (!Deadlines.empty() && Deadlines.front().At <= Now) {
    const deadline Due = Deadlines.front();
    Deadlines.pop_front();
    if (Setups[Due.Index].Generation == Due.Generation) {
      release(Due.Index);
      return Due.Index;
    }
  }
  return NoSetup;
}

void setup_store::clear() {
  Setups.clear();
  FreeIndices.clear();
  Deadlines.clear();
}

} // namespace briarpoint
