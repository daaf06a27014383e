#ifndef BRIARPOINT_CORE_SYNC_PATCH_EXECUTION_H
#define BRIARPOINT_CORE_SYNC_PATCH_EXECUTION_H

#include "config/patch.h"
#include "core/sync/config_head.h"
#include "core/sync/config_manifest.h"
#include "core/sync/patch_outcome.h"
#include "core/sync/store_client.h"

#include <functional>
#include <memory>
#include <set>

namespace briarpoint {

/// Executes one patch against the platform: writes the parts, the manifest, then the head by
/// conditional update.
class patch_execution {
public:
  using done = std::function<void(const patch_outcome &)>;
  using adopt = std::function<void(std::shared_ptr<const configuration>)>;

  /// \p InForce is the base if it is the newest version. \p Adopt is called with the new
  /// configuration once the patch is accepted. \p Store must outlive the object.
  patch_execution(store_client &Store, patch Patch, std::shared_ptr<const configuration> InForce,
                  adopt Adopt, done Done);

  /// Must be called once. The object must live until finished().
  void start();

  bool finished() const { return Finished; }

private:
  void handleHead(const object_result &Answer);
  void readKnownParts();
  void loadBase();
  void apply(const configuration &Base);
  void writeParts(std::size_t Index);
  void writeManifest();
  void writeHead();
  void handleHeadWritten(const object_result &Answer);
  void rereadHead();
  void handleRereadHead(const object_result &Answer);
  void finish(patch_status Status, config_version Version, std::vector<finding> Findings = {});

  store_client &Store;
  patch Patch;
  std::shared_ptr<const configuration> InForce;
  adopt Adopt;
  done Done;

  config_head Head;
  object_version HeadObject = 0;
  std::shared_ptr<const configuration> Result;
  std::vector<std::string> Parts;
  /// Keys of the parts of the newest version, which exist already.
  std::set<std::string> KnownParts;
  config_manifest Manifest;
  std::uint32_t HeadAttempts = 0;
  /// A write of the head may have taken effect.
  bool MayBeAccepted = false;
  bool Finished = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_PATCH_EXECUTION_H
