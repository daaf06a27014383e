#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_INFO_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_INFO_H

#include "core/view/member_view.h"

namespace briarpoint {

/// Properties that a balancer announces about itself and that its peers disseminate.
struct member_info {
  member_id Id{};
  std::string Name;
  std::string DataCentre;
  std::string Rack;
  /// Data receives Geneve packets (UDP), Control heartbeats and records (UDP), Rpc serves the
  /// configuration (TCP).
  endpoint Data;
  endpoint Control;
  endpoint Rpc;
  /// Raised by the member itself at each start and to refute suspicion; higher replaces lower.
  std::uint64_t Incarnation = 0;
  /// Within one incarnation a later state replaces an earlier one.
  member_state State = member_state::Joining;

  auto operator<=>(const member_info &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_INFO_H
