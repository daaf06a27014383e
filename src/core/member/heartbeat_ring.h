#ifndef BRIARPOINT_CORE_MEMBER_HEARTBEAT_RING_H
#define BRIARPOINT_CORE_MEMBER_HEARTBEAT_RING_H

#include "core/view/ownership_table.h"

#include <map>
#include <string>
#include <vector>

namespace briarpoint {

/// Determines which members receive a member's heartbeats. Members with the same view compute the
/// same ring, so each one can derive which members it has to monitor.
class heartbeat_ring {
public:
  heartbeat_ring() = default;
  heartbeat_ring(ownership_scope Scope, std::uint32_t Successors)
      : Scope(Scope), Successors(Successors) {}

  /// Adds a member; the order of calls doesn't matter.
  void add(member_id Member, const std::string &DataCentre);

  /// Returns the receivers of \p Member's heartbeats: its successors on the ring of its scope and,
  /// with scope DataCentre, the next two on the ring of each other data centre. Counting from the
  /// sender's own position spreads the senders over the receivers.
  std::vector<member_id> receiversOf(member_id Member, const std::string &DataCentre) const;

private:
  std::string ringName(const std::string &DataCentre) const;

  ownership_scope Scope = ownership_scope::DataCentre;
  std::uint32_t Successors = 0;
  /// Members of each ring in ascending order.
  std::map<std::string, std::vector<member_id>> Rings;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_HEARTBEAT_RING_H
