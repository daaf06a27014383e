#include "core/data/slot_directory.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Appends to the first unused place, if there is one and \p Member isn't listed.
template <typename List> void append(List &Members, member_id Member) {
  for (member_id &Place : Members) {
    if (Place == Member)
      return;
    if (Place == NoMember) {
      Place = Member;
      return;
    }
  }
}

} // namespace

slot_directory::slot_directory(member_id Self, duration Convergence)
    : Self(Self), Convergence(Convergence), Slots(OwnershipSlotCount) {}

bool slot_directory::applyView(const forwarding_view &View, instant Now) {
  const bool SameOwners = View.owners() == Owners && View.nextOwners() == NextOwners;
  if (SameOwners && View.members() == Members)
    return false;
  ++Changes;
  bool FirstChanged = false;
  for (std::uint32_t I = 0; I < OwnershipSlotCount; ++I) {
    if (!SameOwners)
      changeOwners(Slots[I], View.owners().owners(I), View.nextOwners().owners(I), Now);
    FirstChanged |= chooseFirstHop(Slots[I], View);
  }
  Members = View.members();
  Owners = View.owners();
  NextOwners = View.nextOwners();
  return FirstChanged;
}

void slot_directory::restart(instant Now) {
  for (slot_state &Slot : Slots) {
    Slot.ConvergedAt = Now + Convergence;
    Slot.ChangedAt = Now;
  }
}

void slot_directory::changeOwners(slot_state &Slot, const owner_list &NewOwners,
                                  const owner_list &Next, instant Now) const {
  // Members that will own the slot besides the present owners.
  owner_list Joining{};
  for (const member_id Member : Next) {
    if (Member != NoMember && !contains(NewOwners, Member))
      append(Joining, Member);
  }

  // An added member has none of the records; neither has an owner that joins again.
  const bool AddsOwner = std::any_of(NewOwners.begin(), NewOwners.end(), [&](member_id Member) {
    return Member != NoMember && !contains(Slot.Owners, Member) && !contains(Slot.Joining, Member);
  });
  const bool AddsJoining = std::any_of(Joining.begin(), Joining.end(), [&](member_id Member) {
    return Member != NoMember && !contains(Slot.Joining, Member);
  });
  if (AddsOwner || AddsJoining)
    ++Slot.Epoch;

  if (NewOwners != Slot.Owners) {
    owner_list Earlier{};
    const auto AddFormer = [&](member_id Member) {
      if (Member != NoMember && Member != Self && !contains(NewOwners, Member))
        append(Earlier, Member);
    };
    std::for_each(Slot.Owners.begin(), Slot.Owners.end(), AddFormer);
    if (Now < Slot.ConvergedAt)
      std::for_each(Slot.Earlier.begin(), Slot.Earlier.end(), AddFormer);
    Slot.Earlier = Earlier;
    Slot.ConvergedAt = Now + Convergence;
    Slot.ChangedAt = Now;
    Slot.Owners = NewOwners;
  }
  Slot.Joining = Joining;
}

bool slot_directory::chooseFirstHop(slot_state &Slot, const forwarding_view &View) const {
  const bool WasFirst = Slot.SelfFirst;
  std::uint32_t FirstKnown = NoIndex;
  Slot.FirstHop = NoIndex;
  Slot.Suspected = false;
  for (const member_id Owner : Slot.Owners) {
    const member_view *Member = Owner == NoMember ? nullptr : View.findMember(Owner);
    if (Member == nullptr)
      continue;
    const auto Index = static_cast<std::uint32_t>(Member - View.members().data());
    if (FirstKnown == NoIndex)
      FirstKnown = Index;
    if (Member->Suspected && Owner != Self)
      Slot.Suspected = true;
    else if (Slot.FirstHop == NoIndex)
      Slot.FirstHop = Index;
  }
  if (Slot.FirstHop == NoIndex)
    Slot.FirstHop = FirstKnown;
  Slot.SelfFirst = Slot.FirstHop != NoIndex && View.members()[Slot.FirstHop].Id == Self;
  Slot.SelfOwner = contains(Slot.Owners, Self) || contains(Slot.Joining, Self);
  return WasFirst != Slot.SelfFirst;
}

void slot_directory::addHop(hop_list &Hops, member_id Member, const forwarding_view &View) const {
  if (Member == NoMember || Member == Self)
    return;
  const member_view *Known = View.findMember(Member);
  if (Known != nullptr && !Known->Suspected && Known->State != member_state::Dead)
    append(Hops, Member);
}

hop_list slot_directory::replicas(const slot_state &Slot, member_id Also,
                                  const forwarding_view &View) const {
  hop_list Hops{};
  for (const member_id Member : Slot.Owners)
    addHop(Hops, Member, View);
  for (const member_id Member : Slot.Joining)
    addHop(Hops, Member, View);
  addHop(Hops, Also, View);
  return Hops;
}

hop_list slot_directory::holders(const slot_state &Slot, const forwarding_view &View,
                                 instant Now) const {
  hop_list Hops{};
  for (const member_id Member : Slot.Owners)
    addHop(Hops, Member, View);
  if (Now >= Slot.ConvergedAt)
    return Hops;
  for (const member_id Member : Slot.Earlier)
    addHop(Hops, Member, View);
  return Hops;
}

} // namespace briarpoint
