#ifndef BRIARPOINT_CONFIG_CONFIGURATION_H
#define BRIARPOINT_CONFIG_CONFIGURATION_H

#include "config/service_config.h"

namespace briarpoint {

/// Number of a configuration. Version 0 is the empty one that exists before the first patch.
using config_version = std::uint64_t;

/// A complete configuration as set by the operators. Immutable once it has a version.
struct configuration {
  config_version Version = 0;
  /// Ordered by name.
  std::vector<service_config> Services;

  auto operator<=>(const configuration &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIGURATION_H
