#ifndef BRIARPOINT_CORE_SYNC_CONFIG_MANIFEST_H
#define BRIARPOINT_CORE_SYNC_CONFIG_MANIFEST_H

#include "config/configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Names the parts of a version.
struct config_manifest {
  config_version Version = 0;
  /// Keys of the parts, in order.
  std::vector<std::string> Parts;

  auto operator<=>(const config_manifest &) const = default;
};

std::string toJson(const config_manifest &Manifest);

/// \throws findings_error if the text isn't a manifest.
config_manifest parseConfigManifest(std::string_view Text);

/// Key of a part, which depends on its content only.
std::string partKey(std::string_view Part);

/// Key of a manifest. Patches that race for one version have different keys, so that one that was
/// abandoned doesn't block the version.
std::string manifestKey(const config_manifest &Manifest);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_MANIFEST_H
