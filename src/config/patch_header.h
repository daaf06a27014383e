#ifndef BRIARPOINT_CONFIG_PATCH_HEADER_H
#define BRIARPOINT_CONFIG_PATCH_HEADER_H

#include "config/configuration.h"

#include <optional>
#include <string>

namespace briarpoint {

/// Values of a patch that are given outside its text, for example on a command line.
struct patch_header {
  /// Id and base that replace those in the text. If they are given, the text may omit them.
  std::optional<std::string> Id;
  std::optional<config_version> Base;
  /// Used if there is an id neither in the text nor in Id.
  std::optional<std::string> DefaultId;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_PATCH_HEADER_H
