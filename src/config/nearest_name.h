#ifndef BRIARPOINT_CONFIG_NEAREST_NAME_H
#define BRIARPOINT_CONFIG_NEAREST_NAME_H

#include <optional>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Returns the name with the smallest edit distance to \p Name, for "did you mean" in findings.
/// Returns nothing if that distance exceeds both 2 and a third of the length of \p Name, or
/// \p Name has more than 64 characters.
std::optional<std::string_view> nearestName(std::string_view Name,
                                            const std::vector<std::string_view> &Names);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_NEAREST_NAME_H
