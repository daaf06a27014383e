#ifndef BRIARPOINT_CTL_EXIT_CODE_H
#define BRIARPOINT_CTL_EXIT_CODE_H

namespace briarpoint {

/// Exit codes of briarpointctl. Scripts depend on the numbers.
enum class exit_code : int {
  Done = 0,
  /// The balancer's answer is malformed, or has a status that the command does not expect.
  UnexpectedAnswer = 1,
  /// The command line is wrong, or a file cannot be read.
  Usage = 2,
  /// The patch is invalid, or the token was refused. Nothing was changed.
  Refused = 3,
  /// The base version of the patch is not the current version. Nothing was changed.
  Stale = 4,
  /// It is unknown whether the request was executed: the patch may have been accepted, or the
  /// balancer may be leaving.
  OutcomeUnknown = 5,
  /// No balancer answered, or the platform is unavailable. Nothing was changed.
  Unreachable = 6,
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_EXIT_CODE_H
