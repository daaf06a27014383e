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

/// Use of a target by the data plane.
struct target_rating {
  /// Relative share of new flows, 0 to 1.
  double Weight = 1.0;
  /// The target may get new flows.
  bool AcceptsNew = true;
  /// Flows to the target are ended.
  bool Dead = false;

  auto operator<=>(const target_rating &) const = default;
};

/// Report of one prober.
struct target_report {
  target_status Status;
  /// When the report expires; Never while the prober is assigned to the target.
  instant ValidUntil = Never;
};

/// State of one target of the configuration in force.
struct target_entry {
  target_config Config;
  service_id Service{};
  std::vector<member_id> Probers;
  /// When a target that is down becomes dead.
  instant DeadAt{};
  /// Set while this process is one of the probers.
  std::optional<target_probe> Probe;
  std::map<member_id, target_report> Reports;
  passive_health Passive;
  load_weight Load;
  /// Start of the slow start; instant::min() for a target that needs none.
  instant SlowStartFrom = instant::min();
  /// Merged from the reports that count.
  bool Down = false;
  bool Draining = false;
  /// Share of the reports with target_health::Shedding, 0 to 1.
  double SheddingShare = 0;
  std::uint32_t DownVotes = 0;
  target_rating Rating;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_ENTRY_H
