#ifndef BRIARPOINT_CONFIG_CONFIG_TEXT_H
#define BRIARPOINT_CONFIG_CONFIG_TEXT_H

#include "config/patch.h"
#include "config/patch_header.h"

#include <string_view>

namespace briarpoint {

/// Parse functions for the content of a file, which is TOML if \p FileName ends in ".toml" and JSON
/// otherwise. \p FileName also names the input in findings.
/// \throws findings_error with all findings.
configuration parseConfigurationText(std::string_view Text, const std::string &FileName);
patch parsePatchText(std::string_view Text, const std::string &FileName,
                     const patch_header &Header);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIG_TEXT_H
