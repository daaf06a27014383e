#ifndef BRIARPOINT_BASE_IDS_H
#define BRIARPOINT_BASE_IDS_H

#include <cstdint>
#include <string_view>

namespace briarpoint {

/// Identity of a balancer process: the hash of its configured name.
enum class member_id : std::uint64_t {};

/// Identity of a target: the hash of service name, target name, tunnel address and port. A target
/// that gets another address, or an address that is used for another service, is a new target.
enum class target_id : std::uint64_t {};

/// Number of a service, which is also its Geneve virtual network identifier (1 to 2^24 - 1).
enum class service_id : std::uint32_t {};

/// No member; makeMemberId never returns it.
inline constexpr member_id NoMember{0};
/// No target; makeTargetId never returns it.
inline constexpr target_id NoTarget{0};

/// Returns the id of the balancer with this name.
member_id makeMemberId(std::string_view Name);

} // namespace briarpoint

#endif // BRIARPOINT_BASE_IDS_H
