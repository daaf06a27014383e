#ifndef BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H
#define BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H

#include "config/configuration.h"

#include <string>
#include <vector>

namespace briarpoint {

/// Splits a configuration into JSON texts of at most \p MaxPartSize bytes each; they have about a
/// quarter of it on average. Cuts depend on the names of services and targets, not on their
/// position: changing, adding or removing a target changes the part that holds it and at most the
/// parts up to the next cut that a name determines. The version isn't contained. An empty
/// configuration has no parts.
/// \throws std::length_error if a service without its targets, or a target, exceeds the size.
std::vector<std::string> splitConfiguration(const configuration &Configuration,
                                            std::size_t MaxPartSize);

/// Puts the parts together, in the order in which splitConfiguration returned them. The caller
/// checks that the list is complete (the manifest names every part): a part that holds only further
/// targets of a service isn't missed here.
/// \throws findings_error with all findings if a part is malformed, parts are in another order, or
/// the configuration isn't valid.
configuration joinConfiguration(config_version Version, const std::vector<std::string> &Parts);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H
