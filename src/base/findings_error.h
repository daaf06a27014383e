#ifndef BRIARPOINT_BASE_FINDINGS_ERROR_H
#define BRIARPOINT_BASE_FINDINGS_ERROR_H

#include "base/finding.h"

#include <stdexcept>
#include <vector>

namespace briarpoint {

/// Thrown by parse functions with all errors in the input, not only the first.
class findings_error : public std::runtime_error {
public:
  /// \p Findings must not be empty.
  explicit findings_error(std::vector<finding> Findings);

  const std::vector<finding> &findings() const { return Findings; }

private:
  std::vector<finding> Findings;
};

} // namespace briarpoint

#endif // BRIARPOINT_BASE_FINDINGS_ERROR_H
