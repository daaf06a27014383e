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

void priority_admission::recordOutcome(bool WasRefused, instant Now) {
  closeWindow(Now);
  (WasRefused ? Refused : Accepted) += 1.0;
}

void priority_admission::closeWindow(instant Now) {
  if (Now < WindowEnd)
    return;
  WindowEnd = Now + Settings.Window;
  if (Accepted + Refused >= Settings.MinOutcomes)
    adaptLevel();
  allocate();
  Accepted *= Settings.Decay;
  Refused *= Settings.Decay;
  for (double &Count : Offered)
    Count *= Settings.Decay;
}

void priority_admission::adaptLevel() {
  // Under overload the targets accept as much as they can serve: the level is cut to that in one
  // step, and a little further while they refuse too much: refused setups are retried elsewhere, so
  // that most of them are accepted in the end. Raising is gradual.
  const double Total = std::accumulate(Offered.begin(), Offered.end(), 0.0);
  if (Refused > Settings.ToleratedRefusals * (Accepted + Refused))
    Level = std::min(Level, Accepted / std::max(Total, 1.0)) * (1.0 - Settings.Cut);
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
