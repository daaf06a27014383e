#ifndef BRIARPOINT_CTL_RUN_CTL_H
#define BRIARPOINT_CTL_RUN_CTL_H

#include "ctl/ctl_options.h"
#include "ctl/exit_code.h"

#include <iosfwd>

namespace briarpoint {

/// Streams and functions of the process that a run of briarpointctl uses.
struct ctl_environment {
  std::ostream &Out;
  std::ostream &Err;
  ctl_options::variable_reader ReadVariable;
  /// Returns a new unique patch id.
  std::function<std::string()> MakePatchId;
  /// Blocks between two status requests of the command watch.
  std::function<void(duration)> Sleep;
};

/// Runs briarpointctl. \p Arguments do not include the program's name. Errors are written to
/// \p Environment.Err.
exit_code runCtl(const std::vector<std::string> &Arguments, const ctl_environment &Environment);

} // namespace briarpoint

#endif // BRIARPOINT_CTL_RUN_CTL_H
