#ifndef BRIARPOINT_CORE_VIEW_MEMBER_VIEW_H
#define BRIARPOINT_CORE_VIEW_MEMBER_VIEW_H

#include "base/ids.h"
#include "net/endpoint.h"

#include <string>

namespace briarpoint {

/// Life cycle of a balancer as its peers see it.
enum class member_state : std::uint8_t {
  /// Collects configuration, members and records; owns no flows yet.
  Joining,
  /// Owns its share of the flows.
  Ready,
  /// Owns no flows any more; hands packets over until the process exits.
  Leaving,
  /// Declared dead, or ended.
  Dead,
};

/// The properties of a balancer that the data plane uses.
struct member_view {
  member_id Id{};
  std::string DataCentre;
  /// Failure domain within the data centre; empty if unknown.
  std::string Rack;
  /// UDP endpoint that receives Geneve packets.
  endpoint Data;
  member_state State = member_state::Joining;
  /// Heartbeats are missing: not used as a destination of hand-overs while another owner is
  /// available.
  bool Suspected = false;

  auto operator<=>(const member_view &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_VIEW_MEMBER_VIEW_H
