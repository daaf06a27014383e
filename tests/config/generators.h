#ifndef BRIARPOINT_TESTS_CONFIG_GENERATORS_H
#define BRIARPOINT_TESTS_CONFIG_GENERATORS_H

#include "config/patch.h"

#include <rapidcheck.h>

namespace briarpoint::test {

/// Generates valid configurations of up to 5 services and 8 targets each, IPv4 and IPv6.
rc::Gen<configuration> validConfiguration();

/// Generates operations on services and targets that often, but not always, exist in a generated
/// configuration.
rc::Gen<std::vector<patch_operation>> anyOperations();

/// Returns a valid configuration of one service with \p TargetCount targets.
configuration largeConfiguration(std::uint32_t TargetCount);

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_CONFIG_GENERATORS_H
