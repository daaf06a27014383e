#ifndef BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H
#define BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H

#include "config/configuration.h"

#include <string>
#include <vector>

namespace briarpoint {

/// Splits a configuration into JSON texts of at most \p MaxPartSize bytes each, and about a quarter
/// of that on average. Where a part ends depends on the names of services and targets, not on their
/// position. Changing, adding or removing a target therefore changes the part that holds it and at
/// most the following parts up to the next cut that a name determines. The parts don't contain the
/// version. An empty configuration has no parts.
/// \throws std::length_error if a service without its targets, or a target, exceeds the size.
std::vector<std::string> splitConfiguration(const configuration &Configuration,
                                            std::size_t MaxPartSize);

/// Joins parts, which must be in the order in which splitConfiguration returned them. Check first
/// that none is missing (the manifest names every part): the absence of a part that holds only
/// further targets of a service isn't detected here.
/// \throws findings_error with all findings if a part is malformed, parts are in another order, or
/// the configuration isn't valid.
configuration joinConfiguration(config_version Version, const std::vector<std::string> &Parts);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIGURATION_PARTS_H
