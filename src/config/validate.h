#ifndef BRIARPOINT_CONFIG_VALIDATE_H
#define BRIARPOINT_CONFIG_VALIDATE_H

#include "base/finding.h"
#include "config/configuration.h"

#include <vector>

namespace briarpoint {

/// Returns all errors of a configuration: duplicate names, numbers or listeners, tunnel endpoints
/// that two targets share, values out of range. Empty if it is valid.
std::vector<finding> validate(const configuration &Configuration);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_VALIDATE_H
