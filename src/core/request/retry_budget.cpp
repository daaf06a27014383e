#include "core/request/retry_budget.h"

#include <algorithm>

namespace briarpoint {

void retry_budget::recordRequest() { Available = std::min(Available + Ratio, MaxUnused); }

bool retry_budget::tryRetry() {
  // The sum of ten additions of 0.1 is slightly less than 1.
  constexpr double Rounding = 1e-9;
  if (Available + Rounding < 1.0)
    return false;
  Available = std::max(0.0, Available - 1.0);
  return true;
}

} // namespace briarpoint
