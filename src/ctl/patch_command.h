#ifndef BRIARPOINT_CTL_PATCH_COMMAND_H
#define BRIARPOINT_CTL_PATCH_COMMAND_H

#include "config/patch.h"
#include "ctl/daemon_client.h"
#include "ctl/exit_code.h"

#include <iosfwd>

namespace briarpoint {

/// Submits patches and tells how they ended.
class patch_command {
public:
  /// All parameters must outlive the object. \p NewId is the id of a patch that has none.
  patch_command(const ctl_options &Options, const daemon_client &Client, std::string NewId,
                std::ostream &Out, std::ostream &Err)
      : Options(Options), Client(Client), NewId(std::move(NewId)), Out(Out), Err(Err) {}

  /// Command patch: submits the file, or shows what it would change.
  exit_code submitFile();

  /// Commands drain and undrain of a target, "service/target", against the current version.
  exit_code setIntent(const std::string &Name, target_intent Intent);

private:
  exit_code submit(const patch &Patch);
  exit_code dryRun(const patch &Patch);
  exit_code report(const patch &Patch, const http_answer &Answer);
  void reportAccepted(const patch &Patch, config_version Version);
  void reportStale(const patch &Patch, config_version Current);
  void reportFindings(const std::string &Body);
  void reportUnknown(const patch &Patch);
  std::string repeatCommand(const patch &Patch) const;
  configuration fetch(const std::string &Target) const;

  const ctl_options &Options;
  const daemon_client &Client;
  std::string NewId;
  std::ostream &Out;
  std::ostream &Err;
  /// Command that repeats the submission, without the patch id.
  std::string Repeat;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_PATCH_COMMAND_H
