#ifndef BRIARPOINT_FORWARD_FAILING_TARGET_POOL_H
#define BRIARPOINT_FORWARD_FAILING_TARGET_POOL_H

#include "base/instant.h"
#include "forward/target_registry.h"
#include "forward/target_state_message.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace briarpoint {

/// Pools at a reader the failed requests that balancers report, and decides which targets fail in
/// part: those with far more failures than the other targets of their service. The load that it is
/// for is a target that hangs or fails on a share of its requests, of which each balancer of many
/// sees less than one in a few seconds.
class failing_target_pool {
public:
  /// Failures count for this time.
  static constexpr duration Window = std::chrono::seconds(5);
  static constexpr std::uint32_t MinFailures = 3;
  /// All targets of an overloaded service have failures, so a target fails only in comparison.
  static constexpr double MinRatio = 4;
  /// A single balancer may have a bad link.
  static constexpr std::size_t MinObservers = 2;
  /// Limits the weight of one report.
  static constexpr std::uint16_t MaxFailuresPerReport = 8;
  /// Limit the memory that reports take.
  static constexpr std::size_t MaxTargets = 4096;
  static constexpr std::size_t MaxReports = 256;

  /// \p Observer reports \p Count failures of \p Target. Dropped if there are too many.
  void report(const target_process &Target, std::uint16_t Count, std::uint64_t Observer,
              instant Now);

  /// Returns the targets that fail in part, in ascending order. \p Targets tells the services.
  /// Forgets older reports.
  std::vector<target_process> failing(target_registry &Targets, instant Now);

private:
  struct failure_report {
    instant At;
    std::uint64_t Observer;
    std::uint16_t Count;
  };
  std::map<target_process, std::deque<failure_report>> Reports;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FAILING_TARGET_POOL_H
