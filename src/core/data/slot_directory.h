#ifndef BRIARPOINT_CORE_DATA_SLOT_DIRECTORY_H
#define BRIARPOINT_CORE_DATA_SLOT_DIRECTORY_H

#include "core/data/handover.h"
#include "core/flow/flow_entry.h"
#include "core/view/forwarding_view.h"

#include <memory>

namespace briarpoint {

/// No member to hand packets to.
inline constexpr std::uint16_t NoHop = 0xFFFF;

/// What each packet needs of its ownership slot. Small, so that all slots fit the first-level
/// cache.
struct slot_route {
  /// Raised when a member is added to the slot's owners or joining members.
  std::uint32_t Epoch = 0;
  /// Index into the view's members of the first owner that isn't suspected; of the first known
  /// owner if all are suspected; NoHop if there is none.
  std::uint16_t FirstHop = NoHop;
  /// Whether this balancer is that first owner.
  bool SelfFirst = false;
};

/// What else a balancer knows of an ownership slot.
struct slot_state {
  owner_list Owners{};
  /// Members that will own the slot when they are ready.
  owner_list Joining{};
  /// Former owners, most recent first. They are asked until ConvergedAt.
  owner_list FormerOwners{};
  instant ConvergedAt = instant::min();
  /// Time of the last change of Owners.
  instant ChangedAt = instant::min();
  /// Whether this balancer owns the slot or will own it.
  bool SelfOwner = false;
  /// Whether an owner is suspected.
  bool Suspected = false;
};

/// Owners of each ownership slot, now and before. Kept up to date from views.
class slot_directory {
public:
  slot_directory(member_id Self, duration ConvergencePeriod);

  /// Takes the owners of \p View. Returns whether this balancer became or ceased to be first owner
  /// of any slot.
  bool applyView(const forwarding_view &View, instant Now);

  const slot_route &route(std::uint32_t Slot) const { return Routes[Slot]; }
  const slot_route &routeOf(const flow_id &Id) const { return Routes[ownership_table::slotOf(Id)]; }
  const slot_state &slot(std::uint32_t Slot) const { return Slots[Slot]; }
  const slot_state &slotOf(const flow_id &Id) const { return Slots[ownership_table::slotOf(Id)]; }

  /// All slots count as changed now; used after the process forgot its records.
  void markAllChanged(instant Now);

  /// Number of views so far that changed owners or members.
  std::uint64_t changeCount() const { return ChangeCount; }

  /// Other current owners and joining members, in order, without suspected ones: those that a
  /// record is replicated to. \p Also is added if it is another member that isn't listed.
  hop_list replicationHops(const slot_state &Slot, member_id AdditionalMember,
                           const forwarding_view &View) const;

  /// Other members that may hold a record of the slot: owners, and earlier ones while views
  /// converge.
  hop_list lookupHops(const slot_state &Slot, const forwarding_view &View, instant Now) const;

  /// Whether a flow that none of the holders knows is unknown to the whole fabric.
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
  /// Members of the last view, to skip the work when only targets changed.
  std::vector<member_view> Members;
  ownership_table Owners;
  ownership_table NextOwners;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_SLOT_DIRECTORY_H
