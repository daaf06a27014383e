#include "core/request/priority_admission.h"

#include <algorithm>
#include <numeric>

namespace briarpoint {

priority_admission::priority_admission(const priority_admission_settings &Settings,
                                       random_source &Random)
    : Settings(Settings), Random(Random) {}

bool priority_admission::admit(request_class Class, instant Now) {
  closeWindow(Now);
  const auto Index = static_cast<std::size_t>(Class);
  Offered[Index] += 1.0;
  return Admission[Index] >= 1.0 || Random.unit() < Admission[Index];
}

void priority_admission::recordOutcome(bool Refused, instant Now) {
  closeWindow(Now);
  ++Outcomes;
  Refusals += Refused ? 1 : 0;
}

void priority_admission::closeWindow(instant Now) {
  if (Now < WindowEnd)
    return;
  WindowEnd = Now + Settings.Window;
  if (Outcomes >= Settings.MinOutcomes) {
    adaptLevel();
    Outcomes = 0;
    Refusals = 0;
  }
  allocate();
  for (double &Count : Offered)
    Count *= Settings.Decay;
}

void priority_admission::adaptLevel() {
  // What was refused beyond the tolerable share is cut in one step; raising is gradual.
  const double Share = static_cast<double>(Refusals) / Outcomes;
  if (Share > Settings.ToleratedRefusals)
    Level *= 1.0 - (Share - Settings.ToleratedRefusals);
  else
    Level += Settings.Raise;
  Level = std::clamp(Level, Settings.MinLevel, 1.0);
}

void priority_admission::allocate() {
  Admission.fill(1.0);
  const double Total = std::accumulate(Offered.begin(), Offered.end(), 0.0);
  if (Level >= 1.0 || Total <= 0.0)
    return;

  // Reserve the minimum share of the lower classes.
  double Rest = Level * Total;
  std::array<double, RequestClassCount> Granted{};
  for (std::size_t I = 1; I < RequestClassCount; ++I) {
    Granted[I] = std::min(Offered[I], Settings.MinShare * Level * Total);
    Rest -= Granted[I];
  }
  // Give the rest to the classes in order.
  for (std::size_t I = 0; I < RequestClassCount; ++I) {
    const double More = std::clamp(Rest, 0.0, Offered[I] - Granted[I]);
    Rest -= More;
    if (Offered[I] > 0.0)
      Admission[I] = (Granted[I] + More) / Offered[I];
  }
}

} // namespace briarpoint
