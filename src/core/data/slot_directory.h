#ifndef BRIARPOINT_CORE_DATA_SLOT_DIRECTORY_H
#define BRIARPOINT_CORE_DATA_SLOT_DIRECTORY_H

#include "core/data/handover.h"
#include "core/flow/flow_entry.h"
#include "core/view/forwarding_view.h"

#include <memory>

namespace briarpoint {

/// Index that stands for no member.
inline constexpr std::uint16_t NoHop = 0xFFFF;

/// The part of a slot's state that is read for each packet. Small, so that the routes of all slots
/// fit into the first-level cache.
struct slot_route {
  /// Incremented when a member is added to the slot's owners or joining members.
  std::uint32_t Epoch = 0;
  /// Index into the view's members of the first owner that isn't suspected. If all are suspected,
  /// the first owner in the view; NoHop if there is none.
  std::uint16_t FirstHop = NoHop;
  /// Whether this balancer is that first owner.
  bool SelfFirst = false;
};

/// The part of a slot's state that isn't read for each packet.
struct slot_state {
  owner_list Owners{};
  /// Members that will own the slot when they are ready.
  owner_list Joining{};
  /// Former owners, most recent first. Lookups include them until ConvergedAt.
  owner_list FormerOwners{};
  /// End of the convergence period after the last change.
  instant ConvergedAt = instant::min();
  /// Time of the last change of Owners or of the last call of markAllChanged.
  instant ChangedAt = instant::min();
  /// Whether this balancer owns the slot or will own it.
  bool SelfOwner = false;
  /// Whether an owner is suspected.
  bool Suspected = false;
};

/// Current and former owners of each ownership slot, updated from views.
class slot_directory {
public:
  slot_directory(member_id Self, duration ConvergencePeriod);

  /// Updates the owners from \p View. Returns whether this balancer became or ceased to be first
  /// owner of any slot.
  bool applyView(const forwarding_view &View, instant Now);

  const slot_route &route(std::uint32_t Slot) const { return Routes[Slot]; }
  const slot_route &routeOf(const flow_id &Id) const { return Routes[ownership_table::slotOf(Id)]; }
  const slot_state &slot(std::uint32_t Slot) const { return Slots[Slot]; }
  const slot_state &slotOf(const flow_id &Id) const { return Slots[ownership_table::slotOf(Id)]; }

  /// Restarts the convergence period of all slots, for use after the process has lost its records.
  void markAllChanged(instant Now);

  /// Number of applied views that changed owners or members.
  std::uint64_t changeCount() const { return ChangeCount; }

  /// Returns the members that a record is replicated to: other current owners and joining members,
  /// in order, without suspected ones. \p AdditionalMember is appended if it is another
  /// member that is neither listed nor suspected.
  hop_list replicationHops(const slot_state &Slot, member_id AdditionalMember,
                           const forwarding_view &View) const;

  /// Returns the other members that may hold a record of the slot: owners, and former owners during
  /// the convergence period.
  hop_list lookupHops(const slot_state &Slot, const forwarding_view &View, instant Now) const;

  /// Whether a flow for which no member of lookupHops has a record has none in the whole fabric.
  static bool converged(const slot_state &Slot, const forwarding_view &View, instant Now) {
    return View.allReachable() && !Slot.Suspected && Now >= Slot.ConvergedAt;
  }

private:
  void changeOwners(std::uint32_t Index, const owner_list &Owners, const owner_list &Next,
                    instant Now);
  bool chooseFirstHop(std::uint32_t Index, const forwarding_view &View);
  void addHop(hop_list &Hops, member_id Member, const forwarding_view &View) const;

  member_id Self;
  duration ConvergencePeriod;
  std::vector<slot_state> Slots;
  std::vector<slot_route> Routes;
  std::uint64_t ChangeCount = 0;
  /// Members and owners of the last view; a view that changes neither is skipped.
  std::vector<member_view> Members;
  ownership_table Owners;
  ownership_table NextOwners;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_SLOT_DIRECTORY_H
