#ifndef BRIARPOINT_CONFIG_PATCH_HEADER_H
#define BRIARPOINT_CONFIG_PATCH_HEADER_H

#include "config/configuration.h"

#include <optional>
#include <string>

namespace briarpoint {

/// Values of a patch that are given outside its text, for example on a command line.
struct patch_header {
  /// Replace the ones in the text, which may lack them then.
  std::optional<std::string> Id;
  std::optional<config_version> Base;
  /// Used if neither the text nor Id gives an id.
  std::optional<std::string> DefaultId;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_PATCH_HEADER_H
