#ifndef BRIARPOINT_CORE_SYNC_CONFIG_MANIFEST_H
#define BRIARPOINT_CORE_SYNC_CONFIG_MANIFEST_H

#include "config/configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Lists the parts of a configuration version.
struct config_manifest {
  config_version Version = 0;
  /// Keys of the parts, in order.
  std::vector<std::string> Parts;

  auto operator<=>(const config_manifest &) const = default;
};

std::string toJson(const config_manifest &Manifest);

/// \throws findings_error if the text is malformed.
config_manifest parseConfigManifest(std::string_view Text);

/// Returns the key of a part, which depends on its content only.
std::string partKey(std::string_view Part);

/// Returns the key of a manifest. Patches that compete for one version have different manifest
/// keys, so an abandoned one doesn't block the version.
std::string manifestKey(const config_manifest &Manifest);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_MANIFEST_H
