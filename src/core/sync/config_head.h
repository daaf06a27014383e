#ifndef BRIARPOINT_CORE_SYNC_CONFIG_HEAD_H
#define BRIARPOINT_CORE_SYNC_CONFIG_HEAD_H

#include "config/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Maximum number of accepted patches that the head lists.
inline constexpr std::size_t MaxHeadPatches = 64;
/// Store key of the head.
inline constexpr const char *HeadKey = "config/head";

/// An accepted patch and the version that it produced.
struct accepted_patch {
  std::string Id;
  config_version Version = 0;

  auto operator<=>(const accepted_patch &) const = default;
};

/// Content of the object that names the newest configuration. Version 0: there is no configuration
/// yet.
struct config_head {
  config_version Version = 0;
  /// Key of the manifest.
  std::string Manifest;
  /// Newest last.
  std::vector<accepted_patch> Patches;

  /// Returns the version that a patch was accepted as; nothing if the head doesn't list it.
  std::optional<config_version> findPatch(std::string_view Id) const;

  auto operator<=>(const config_head &) const = default;
};

std::string toJson(const config_head &Head);

/// \throws findings_error if the text is malformed.
config_head parseConfigHead(std::string_view Text);

/// Returns the head that follows \p Head when \p PatchId is accepted.
config_head nextHead(const config_head &Head, const std::string &PatchId,
                     const std::string &Manifest);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_HEAD_H
