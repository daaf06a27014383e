#ifndef BRIARPOINT_FORWARD_TARGET_STATE_TRACKER_H
#define BRIARPOINT_FORWARD_TARGET_STATE_TRACKER_H

#include "forward/target_registry.h"

#include <set>
#include <string>
#include <vector>

namespace briarpoint {

/// Changes since the previous call of target_state_tracker::update().
struct target_state_changes {
  /// Targets that were found dead. Valid until the registry changes.
  std::vector<const target *> DeadBegan;
  /// Names of targets that no longer count as dead.
  std::vector<std::string> DeadEnded;
  /// The same for targets that fail in part.
  std::vector<const target *> FailingBegan;
  std::vector<std::string> FailingEnded;
};

/// Determines which targets began or ceased to count as dead or failing.
class target_state_tracker {
public:
  target_state_changes update(const target_registry &Targets, instant Now);

private:
  using names = std::set<std::string>;
  static void track(const target &Target, bool Holds, names &Known,
                    std::vector<const target *> &Began, std::vector<std::string> &Ended);

  names Dead;
  names Failing;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_STATE_TRACKER_H
