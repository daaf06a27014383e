#ifndef BRIARPOINT_CONFIG_CONFIG_LIMITS_H
#define BRIARPOINT_CONFIG_CONFIG_LIMITS_H

#include <cstddef>
#include <cstdint>

namespace briarpoint {

/// Largest service number: Geneve's virtual network identifier has 24 bits.
inline constexpr std::uint32_t MaxServiceId = (1U << 24U) - 1;

/// Maximum number of request slots of a target. Far above any real target; keeps sums over all
/// targets small.
inline constexpr std::uint32_t MaxTargetSlots = 1'000'000;

/// Maximum number of ports of a service. Bounds the size of a service without its targets (about
/// 60 KB as JSON), so that it always fits into one platform object.
inline constexpr std::size_t MaxServicePorts = 1024;

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIG_LIMITS_H
