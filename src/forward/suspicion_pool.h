#ifndef BRIARPOINT_FORWARD_SUSPICION_POOL_H
#define BRIARPOINT_FORWARD_SUSPICION_POOL_H

#include "base/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace briarpoint {

/// Combines what several balancers observed of targets, so that each one need not find a failed
/// target by a flow of its own: with more balancers than flows for each target, that costs one
/// delayed caller for each balancer and target. The load that it is for is the failure of many
/// targets at once.
class suspicion_pool {
public:
  /// A single balancer may have a bad link, or may have been paused.
  static constexpr std::size_t MinObservers = 2;
  /// Time for which a report counts. It is short, so that a target that works again is soon tried.
  static constexpr duration ReportLifetime = std::chrono::milliseconds(2000);
  /// Limits the memory that reports take.
  static constexpr std::size_t MaxTargets = 4096;
  static constexpr std::size_t MaxObservers = 16;

  /// \p Observer suspects the target with number \p Target. Dropped if there are too many targets.
  void report(std::uint64_t Target, std::uint64_t Observer, instant Now);

  /// Returns the numbers of the targets that at least MinObservers reported recently, in ascending
  /// order. Forgets older reports.
  std::vector<std::uint64_t> suspected(instant Now);

private:
  /// Ends of the reports, by observer.
  using observers = std::map<std::uint64_t, instant>;
  std::map<std::uint64_t, observers> Reports;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_SUSPICION_POOL_H
