#ifndef BRIARPOINT_CORE_TARGET_TARGET_ENTRY_H
#define BRIARPOINT_CORE_TARGET_TARGET_ENTRY_H

#include "config/target_config.h"
#include "core/target/load_weight.h"
#include "core/target/passive_health.h"
#include "core/target/target_probe.h"
#include "core/target/target_status.h"

#include <map>
#include <optional>
#include <vector>

namespace briarpoint {

/// How a target is to be used by the data plane.
struct target_rating {
  double Weight = 1.0;
  bool AcceptsNew = true;
  bool Dead = false;

  auto operator<=>(const target_rating &) const = default;
};

/// Report of one prober, and until when it counts although the prober isn't assigned any more.
struct target_report {
  target_status Status;
  instant ValidUntil = Never;
};

/// What this process knows about one target of the configuration in force.
struct target_entry {
  target_config Config;
  service_id Service{};
  std::vector<member_id> Probers;
  /// When a target that is down counts as dead.
  instant DeadAt{};
  /// Set while this process is one of the probers.
  std::optional<target_probe> Probe;
  std::map<member_id, target_report> Reports;
  passive_health Passive;
  load_weight Load;
  /// When the weight starts to rise to 100%; instant::min() for a target that needs no ramp.
  instant SlowStartFrom = instant::min();
  /// Merged from the reports.
  bool Down = false;
  bool Draining = false;
  double Shedding = 0;
  std::uint32_t DownVotes = 0;
  target_rating Rating;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_ENTRY_H
