#include "request/priority_admission.h"

#include <algorithm>
#include <numeric>

namespace briarpoint {

priority_admission::priority_admission(const priority_admission_settings &Settings,
                                       random_source &Random)
    : Settings(Settings), Random(Random) {}

bool priority_admission::admit(request_class Class, instant Now) {
  const double Share = offer(Class, Now);
  return Share >= 1.0 || Random.unit() < Share;
}

double priority_admission::offer(request_class Class, instant Now) {
  closeWindow(Now);
  const auto Index = static_cast<std::size_t>(Class);
  Offered[Index] += 1.0;
  return Admission[Index];
}

void priority_admission::recordOutcome(bool WasRefused, instant Now) {
  closeWindow(Now);
  (WasRefused ? Refused : Accepted) += 1.0;
}

void priority_admission::recordOutcomes(double AcceptedCount, double RefusedCount, instant Now) {
  Accepted += AcceptedCount;
  Refused += RefusedCount;
  WindowEnd = Now;
  closeWindow(Now);
}

void priority_admission::scaleLevel(double Factor) {
  Level = std::clamp(Level * Factor, Settings.MinLevel, 1.0);
  allocate();
}

void priority_admission::admitAll() {
  Level = 1.0;
  Accepted = 0.0;
  Refused = 0.0;
  Admission.fill(1.0);
}

void priority_admission::closeWindow(instant Now) {
  if (Now < WindowEnd)
    return;
  WindowEnd = Now + Settings.Window;
  if (Accepted + Refused >= Settings.MinOutcomes)
    adaptLevel();
  allocate();
  Accepted *= Settings.OutcomeDecay;
  Refused *= Settings.OutcomeDecay;
  for (double &Count : Offered)
    Count *= Settings.OfferedDecay;
}

void priority_admission::adaptLevel() {
  // Proportional to the excess: a burst of refusals reduces the level strongly, and the noise of
  // small counts averages out. The level rises slowly because the tolerated share is small.
  const double Share = Refused / (Accepted + Refused);
  const double Excess = Share - Settings.ToleratedRefusals;
  Level *= 1.0 - (Excess > 0.0 ? Settings.CutGain : Settings.RaiseGain) * Excess;
  Level = std::clamp(Level, Settings.MinLevel, 1.0);
}

void priority_admission::allocate() {
  Admission.fill(1.0);
  const double Total = std::accumulate(Offered.begin(), Offered.end(), 0.0);
  if (Level >= 1.0 || Total <= 0.0)
    return;

  // Reserve the minimum share of the lower classes.
  double Remaining = Level * Total;
  std::array<double, RequestClassCount> Granted{};
  for (std::size_t I = 1; I < RequestClassCount; ++I) {
    Granted[I] = std::min(Offered[I], Settings.MinShare * Level * Total);
    Remaining -= Granted[I];
  }
  // Grant the remaining requests to the classes in order of importance.
  for (std::size_t I = 0; I < RequestClassCount; ++I) {
    const double Extra = std::clamp(Remaining, 0.0, Offered[I] - Granted[I]);
    Remaining -= Extra;
    if (Offered[I] > 0.0)
      Admission[I] = (Granted[I] + Extra) / Offered[I];
  }
  // The counts scatter. Without this, a few requests of the most important class would be rejected
  // at random although nearly all of it is granted.
  if (Admission[0] >= Settings.FullAbove)
    Admission[0] = 1.0;
}

} // namespace briarpoint
