#ifndef BRIARPOINT_CTL_RUN_CTL_H
#define BRIARPOINT_CTL_RUN_CTL_H

#include "ctl/ctl_options.h"
#include "ctl/exit_code.h"

#include <iosfwd>

namespace briarpoint {

/// What a run of briarpointctl uses of its process.
struct ctl_environment {
  std::ostream &Out;
  std::ostream &Err;
  ctl_options::variable_reader Variable;
  /// Returns a new unique patch id.
  std::function<std::string()> MakePatchId;
  /// Waits between two looks of the command watch.
  std::function<void(duration)> Sleep;
};

/// Runs briarpointctl with the arguments after the program's name.
exit_code runCtl(const std::vector<std::string> &Arguments, const ctl_environment &Environment);

} // namespace briarpoint

#endif // BRIARPOINT_CTL_RUN_CTL_H
