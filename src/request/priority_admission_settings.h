#ifndef BRIARPOINT_REQUEST_PRIORITY_ADMISSION_SETTINGS_H
#define BRIARPOINT_REQUEST_PRIORITY_ADMISSION_SETTINGS_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

struct priority_admission_settings {
  /// Interval at which outcomes are evaluated if there are at least MinOutcomes (decayed).
  duration Window = std::chrono::milliseconds(200);
  double MinOutcomes = 10.0;
  /// Share of refusals that is tolerated. Arrivals are random, so a target with few slots sometimes
  /// refuses a request below its capacity. The request is then sent to another target.
  double ToleratedRefusals = 0.07;
  /// Relative change of the level per window and excess share of refusals. If everything is
  /// refused, the level falls to a third within a second; without refusals it rises by 3.5% a
  /// second.
  double CutGain = 0.2;
  double RaiseGain = 0.1;
  double MinLevel = 0.05;
  /// If at least this share of the most important class can be admitted, all of it is.
  double FullAbove = 0.8;
  /// Share of the admitted requests that each lower class keeps.
  double MinShare = 0.05;
  /// Factors on the counts at the end of each window. Outcomes cover about one second, because the
  /// level must react to the effect of its own changes; offered requests cover about four seconds.
  double OutcomeDecay = 0.85;
  double OfferedDecay = 0.95;

  auto operator<=>(const priority_admission_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_REQUEST_PRIORITY_ADMISSION_SETTINGS_H
