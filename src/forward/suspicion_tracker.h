#ifndef BRIARPOINT_FORWARD_SUSPICION_TRACKER_H
#define BRIARPOINT_FORWARD_SUSPICION_TRACKER_H

#include "forward/target_registry.h"

#include <set>
#include <string>
#include <vector>

namespace briarpoint {

/// Changes since the previous call of suspicion_tracker::update().
struct suspicion_changes {
  /// Targets that this balancer suspects now. Valid until the registry changes.
  std::vector<const target *> Began;
  /// Names of targets that it no longer suspects.
  std::vector<std::string> Ended;
  /// The same for suspicions that other balancers reported (target::reported()).
  std::vector<const target *> ReportsBegan;
  std::vector<std::string> ReportsEnded;
};

/// Determines which targets a balancer began or ceased to suspect, from its own flows and from
/// others' reports.
class suspicion_tracker {
public:
  suspicion_changes update(const target_registry &Targets, instant Now);

private:
  using names = std::set<std::string, std::less<>>;
  static void track(const target &Target, bool IsSuspected, names &Known,
                    std::vector<const target *> &Began, std::vector<std::string> &Ended);

  names Suspected;
  names Reported;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_SUSPICION_TRACKER_H
