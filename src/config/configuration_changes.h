#ifndef BRIARPOINT_CONFIG_CONFIGURATION_CHANGES_H
#define BRIARPOINT_CONFIG_CONFIGURATION_CHANGES_H

#include "config/configuration.h"

#include <string>
#include <vector>

namespace briarpoint {

/// Returns a human-readable line for each difference between two configurations, such as
/// "target gate/gate-03: intent active -> leaving".
std::vector<std::string> describeChanges(const configuration &Before, const configuration &After);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIGURATION_CHANGES_H
