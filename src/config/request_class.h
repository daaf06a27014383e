#ifndef BRIARPOINT_CONFIG_REQUEST_CLASS_H
#define BRIARPOINT_CONFIG_REQUEST_CLASS_H

#include <cstddef>
#include <cstdint>

namespace briarpoint {

/// Priority of a request under overload, highest first.
enum class request_class : std::uint8_t { Critical, Normal, Bulk };

inline constexpr std::size_t RequestClassCount = 3;

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_REQUEST_CLASS_H
