#ifndef BRIARPOINT_CONFIG_CONFIG_JSON_H
#define BRIARPOINT_CONFIG_CONFIG_JSON_H

#include "config/configuration.h"
#include "config/patch.h"

#include <string>
#include <string_view>

namespace briarpoint {

/// JSON text of a configuration, a service or a patch. Equal values give equal text (object keys
/// are sorted).
std::string toJson(const configuration &Configuration);
std::string toJson(const service_config &Service);
std::string toJson(const patch &Patch);

/// Parse functions. \p Source names the input in findings.
/// \throws findings_error with all findings (syntax, unknown fields, wrong types, values out of
/// range).
configuration parseConfigurationJson(std::string_view Text, const std::string &Source);
service_config parseServiceJson(std::string_view Text, const std::string &Source);
patch parsePatchJson(std::string_view Text, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIG_JSON_H
