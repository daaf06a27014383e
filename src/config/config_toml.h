#ifndef BRIARPOINT_CONFIG_CONFIG_TOML_H
#define BRIARPOINT_CONFIG_CONFIG_TOML_H

#include "config/patch.h"

#include <string_view>

namespace briarpoint {

/// Parse functions for configurations and patches in TOML. The fields are the same as in JSON.
/// \p Source names the input in findings.
/// \throws findings_error with all findings and their line and column.
configuration parseConfigurationToml(std::string_view Text, const std::string &Source);
patch parsePatchToml(std::string_view Text, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIG_TOML_H
