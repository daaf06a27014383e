#ifndef BRIARPOINT_CTL_PATCH_COMMAND_H
#define BRIARPOINT_CTL_PATCH_COMMAND_H

#include "config/patch.h"
#include "ctl/daemon_client.h"
#include "ctl/exit_code.h"

#include <iosfwd>

namespace briarpoint {

/// Submits patches and prints their outcome.
class patch_command {
public:
  /// The parameters passed by reference must outlive the object. \p NewPatchId is the id of a
  /// patch for which neither the file nor the options give one.
  patch_command(const ctl_options &Options, const daemon_client &Client, std::string NewPatchId,
                std::ostream &Out, std::ostream &Err)
      : Options(Options), Client(Client), NewPatchId(std::move(NewPatchId)), Out(Out), Err(Err) {}

  /// Command patch: submits the file, or with --dry-run prints what it would change.
  /// \throws ctl_error for wrong options, a refused token or an unexpected answer, or if
  /// no balancer can be reached or the platform is unavailable.
  exit_code submitFile();

  /// Commands drain and undrain of a target, \p Name "service/target". The base version is that of
  /// the options, else the current version.
  /// \throws ctl_error like submitFile().
  exit_code setIntent(const std::string &Name, target_intent Intent);

private:
  exit_code submit(const patch &Patch);
  exit_code dryRun(const patch &Patch);
  exit_code report(const patch &Patch, const http_answer &Answer);
  void reportAccepted(const patch &Patch, config_version Version);
  void reportStale(const patch &Patch, config_version Current);
  void reportFindings(const std::string &Body);
  void reportOutcomeUnknown(const patch &Patch);
  std::string repeatCommand(const patch &Patch) const;
  configuration fetchConfiguration(const std::string &RequestTarget) const;

  const ctl_options &Options;
  const daemon_client &Client;
  std::string NewPatchId;
  std::ostream &Out;
  std::ostream &Err;
  /// Arguments that repeat the submission, without --id and --server.
  std::string RepeatArguments;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_PATCH_COMMAND_H
