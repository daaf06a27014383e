#include "forward/caller_shares.h"

#include <algorithm>

namespace briarpoint {

void caller_shares::removeOldest() {
  const auto Entry = Counts.find(Offers.front().second);
  if (--Entry->second == 0)
    Counts.erase(Entry);
  Offers.pop_front();
}

void caller_shares::onOffered(std::uint32_t Caller, instant Now) {
  while (!Offers.empty() && (Offers.front().first + Window <= Now || Offers.size() >= MaxOffers))
    removeOldest();
  Offers.emplace_back(Now, Caller);
  ++Counts[Caller];
}

void caller_shares::updateSums(instant Now) {
  if (Now < SumsExpireAt)
    return;
  SumsExpireAt = Now + SumInterval;
  Total = static_cast<double>(Offers.size());
  Mean = Counts.empty() ? 0 : Total / static_cast<double>(Counts.size());
  Excess = 0;
  for (const auto &[Caller, Count] : Counts)
    if (isHeavy(Count))
      Excess += Count - Mean;
}

double caller_shares::admittedShare(std::uint32_t Caller, double Admitted, instant Now) {
  updateSums(Now);
  const auto Entry = Counts.find(Caller);
  if (Entry == Counts.end() || Total <= 0)
    return Admitted;
  const double Count = Entry->second;
  const double ToReject = (1 - Admitted) * Total;
  const double FromExcess = std::min(ToReject, Excess);
  // What is left after the excess is rejected is admitted evenly.
  const double Rest = Total - FromExcess;
  const double EvenShare = Rest > 0 ? std::clamp(1 - (ToReject - FromExcess) / Rest, 0.0, 1.0) : 0;
  if (Excess <= 0 || !isHeavy(Count))
    return EvenShare;
  const double RejectedExcess = FromExcess / Excess * (Count - Mean);
  return EvenShare * (1 - RejectedExcess / Count);
}

} // namespace briarpoint
