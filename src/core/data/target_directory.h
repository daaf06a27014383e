#ifndef BRIARPOINT_CORE_DATA_TARGET_DIRECTORY_H
#define BRIARPOINT_CORE_DATA_TARGET_DIRECTORY_H

#include "core/data/target_observation.h"
#include "core/flow/flow_entry.h"
#include "core/view/forwarding_view.h"

#include <unordered_map>
#include <vector>

namespace briarpoint {

/// State of a target in the data plane, in addition to the view.
struct target_state {
  target_id Id = NoTarget;
  /// The target in the current view; null if it isn't configured.
  const target_view *View = nullptr;
  /// Open flows of which this balancer is first owner.
  std::uint32_t OpenFlows = 0;
  /// Entries of the flow table that refer to this state.
  std::uint32_t Entries = 0;
  /// Last time at which the target served a flow.
  instant LastProgress = instant::min();
  /// Whether the target has ever answered a datagram.
  bool AnswersDatagrams = false;
  /// Failed setups and silent flows since the last accepted setup.
  std::uint32_t Failures = 0;
  /// This balancer avoids the target for new flows before this time.
  instant BackoffUntil = instant::min();
  /// Observations since the last report.
  target_observation Observation;
};

/// States of targets by a small index. The index of a target doesn't change while an entry of the
/// flow table refers to it.
class target_directory {
public:
  /// Updates the states from \p View, which must live until the next call.
  void applyView(const forwarding_view &View);

  /// Returns the index of a target. Adds a state if there is none; the target needn't be in the
  /// view.
  std::uint32_t indexOf(target_id Id);

  target_state &operator[](std::uint32_t Index) { return States[Index]; }
  const target_state &operator[](std::uint32_t Index) const { return States[Index]; }

  /// Returns the indices of the targets of a service of the current view.
  const std::vector<std::uint32_t> &ofService(const service_view &Service) const {
    return ByService[static_cast<std::size_t>(&Service - FirstService)];
  }

  std::vector<target_state> &all() { return States; }

private:
  void releaseUnusedStates();

  std::vector<target_state> States;
  std::vector<std::uint32_t> FreeIndices;
  std::unordered_map<target_id, std::uint32_t> Index;
  std::vector<std::vector<std::uint32_t>> ByService;
  const service_view *FirstService = nullptr;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_TARGET_DIRECTORY_H
