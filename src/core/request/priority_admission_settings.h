#ifndef BRIARPOINT_CORE_REQUEST_PRIORITY_ADMISSION_SETTINGS_H
#define BRIARPOINT_CORE_REQUEST_PRIORITY_ADMISSION_SETTINGS_H

#include "base/instant.h"

#include <cstdint>

namespace briarpoint {

/// Settings of priority_admission.
struct priority_admission_settings {
  /// Time after which outcomes are evaluated, if there are at least MinOutcomes (decayed).
  duration Window = std::chrono::milliseconds(200);
  double MinOutcomes = 10.0;
  /// Share of refusals that is tolerated. Arrivals are random, so a target with few slots refuses
  /// now and then below its capacity; the refused attempt goes to another target.
  double ToleratedRefusals = 0.05;
  /// Level added after a window with tolerable refusals.
  double Raise = 0.005;
  /// Share of the level that is taken away after a window with more refusals, besides what the
  /// targets didn't accept.
  double Cut = 0.01;
  double MinLevel = 0.05;
  /// Share of the admitted requests that each lower class keeps.
  double MinShare = 0.05;
  /// Factor on the counts at the end of a window; they cover about two seconds.
  double Decay = 0.9;

  auto operator<=>(const priority_admission_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_PRIORITY_ADMISSION_SETTINGS_H
