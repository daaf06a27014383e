#ifndef BRIARPOINT_CORE_SYNC_PATCH_OUTCOME_H
#define BRIARPOINT_CORE_SYNC_PATCH_OUTCOME_H

#include "base/finding.h"
#include "config/configuration.h"

#include <vector>

namespace briarpoint {

/// Result of a patch.
enum class patch_status : std::uint8_t {
  /// Accepted as Version. Also returned for a repeated patch id.
  Accepted,
  /// The base version of the patch isn't the current version; Version is the current one.
  Stale,
  /// The patch or its result is invalid; see Findings.
  Invalid,
  /// The platform can't be reached; nothing was written.
  Unavailable,
  /// The platform stopped answering; the patch may have been accepted. Send the same patch id
  /// again.
  Unknown,
};

struct patch_outcome {
  patch_status Status = patch_status::Unknown;
  config_version Version = 0;
  std::vector<finding> Findings;

  auto operator<=>(const patch_outcome &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_PATCH_OUTCOME_H
