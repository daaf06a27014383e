#include "config/finding_collector.h"

#include <algorithm>
#include <tuple>

namespace briarpoint {

void finding_collector::throwIfAny() {
  if (Findings.empty())
    return;
  std::stable_sort(Findings.begin(), Findings.end(), [](const finding &A, const finding &B) {
    return std::tie(A.Line, A.Column) < std::tie(B.Line, B.Column);
  });
  throw findings_error(std::move(Findings));
}

} // namespace briarpoint
