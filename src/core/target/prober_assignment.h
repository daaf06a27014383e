#ifndef BRIARPOINT_CORE_TARGET_PROBER_ASSIGNMENT_H
#define BRIARPOINT_CORE_TARGET_PROBER_ASSIGNMENT_H

#include "core/view/member_view.h"

#include <string_view>
#include <vector>

namespace briarpoint {

/// Returns the \p Count ready members (fewer if there are fewer) that probe a target, by rendezvous
/// hashing: first the highest-ranked one of each data centre, then the others by rank. The probers
/// of a data centre that is cut off therefore can't outvote the others.
std::vector<member_id> assignProbers(target_id Target, const std::vector<member_view> &Members,
                                     std::size_t Count);

/// Returns whether \p Self is among the \p Count ready members of \p DataCentre that watch the
/// platform for changes.
bool isWatcher(member_id Self, std::string_view DataCentre, const std::vector<member_view> &Members,
               std::size_t Count);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_PROBER_ASSIGNMENT_H
