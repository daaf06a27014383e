#ifndef BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H
#define BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H

#include "config/configuration.h"

#include <string>
#include <vector>

namespace briarpoint {

/// Splits the services of a configuration into JSON texts of at most \p MaxPartSize bytes each.
/// Equal services give equal parts, so that a small change replaces few parts.
/// \throws findings_error if one service doesn't fit in a part.
std::vector<std::string> splitConfiguration(const configuration &Configuration,
                                            std::size_t MaxPartSize);

/// Joins the parts of version \p Version again.
/// \throws findings_error with all findings if a part is malformed or the result isn't valid.
configuration joinConfiguration(config_version Version, const std::vector<std::string> &Parts);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H
