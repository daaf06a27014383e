#include "core/data/slot_directory.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Replaces the first NoMember by \p Member. Does nothing if the list is full or contains \p
/// Member.
template <typename List> void append(List &Members, member_id Member) {
  for (member_id &Element : Members) {
    if (Element == Member)
      return;
    if (Element == NoMember) {
      Element = Member;
      return;
    }
  }
}

} // namespace

slot_directory::slot_directory(member_id Self, duration ConvergencePeriod)
    : Self(Self), ConvergencePeriod(ConvergencePeriod), Slots(OwnershipSlotCount),
      Routes(OwnershipSlotCount) {}

bool slot_directory::applyView(const forwarding_view &View, instant Now) {
  const bool SameOwners = View.owners() == Owners && View.nextOwners() == NextOwners;
  if (SameOwners && View.members() == Members)
    return false;
  ++ChangeCount;
  bool FirstChanged = false;
  for (std::uint32_t I = 0; I < OwnershipSlotCount; ++I) {
    if (!SameOwners)
      changeOwners(I, View.owners().owners(I), View.nextOwners().owners(I), Now);
    FirstChanged |= chooseFirstHop(I, View);
  }
  Members = View.members();
  Owners = View.owners();
  NextOwners = View.nextOwners();
  return FirstChanged;
}

void slot_directory::markAllChanged(instant Now) {
  for (slot_state &Slot : Slots) {
    Slot.ConvergedAt = Now + ConvergencePeriod;
    Slot.ChangedAt = Now;
  }
}

void slot_directory::changeOwners(std::uint32_t Index, const owner_list &NewOwners,
                                  const owner_list &Next, instant Now) {
  slot_state &Slot = Slots[Index];
  // Members that will own the slot besides the present owners.
  owner_list Joining{};
  for (const member_id Member : Next) {
    if (Member != NoMember && !contains(NewOwners, Member))
      append(Joining, Member);
  }

  // An added member has none of the slot's records, and neither has an owner that joins again.
  const bool AddsOwner = std::any_of(NewOwners.begin(), NewOwners.end(), [&](member_id Member) {
    return Member != NoMember && !contains(Slot.Owners, Member) && !contains(Slot.Joining, Member);
  });
  const bool AddsJoining = std::any_of(Joining.begin(), Joining.end(), [&](member_id Member) {
    return Member != NoMember && !contains(Slot.Joining, Member);
  });
  if (AddsOwner || AddsJoining)
    ++Routes[Index].Epoch;

  if (NewOwners != Slot.Owners) {
    owner_list FormerOwners{};
    const auto AddFormer = [&](member_id Member) {
      if (Member != NoMember && Member != Self && !contains(NewOwners, Member))
        append(FormerOwners, Member);
    };
    std::for_each(Slot.Owners.begin(), Slot.Owners.end(), AddFormer);
    if (Now < Slot.ConvergedAt)
      std::for_each(Slot.FormerOwners.begin(), Slot.FormerOwners.end(), AddFormer);
    Slot.FormerOwners = FormerOwners;
    Slot.ConvergedAt = Now + ConvergencePeriod;
    Slot.ChangedAt = Now;
    Slot.Owners = NewOwners;
  }
  Slot.Joining = Joining;
}

bool slot_directory::chooseFirstHop(std::uint32_t Index, const forwarding_view &View) {
  slot_state &Slot = Slots[Index];
  slot_route &Route = Routes[Index];
  std::uint16_t FirstKnown = NoHop;
  Route.FirstHop = NoHop;
  Slot.Suspected = false;
  for (const member_id Owner : Slot.Owners) {
    const member_view *Member = Owner == NoMember ? nullptr : View.findMember(Owner);
    if (Member == nullptr)
      continue;
    const auto Hop = static_cast<std::uint16_t>(Member - View.members().data());
    if (FirstKnown == NoHop)
      FirstKnown = Hop;
    if (Member->Suspected && Owner != Self)
      Slot.Suspected = true;
    else if (Route.FirstHop == NoHop)
      Route.FirstHop = Hop;
  }
  if (Route.FirstHop == NoHop)
    Route.FirstHop = FirstKnown;
  const bool WasFirst = Route.SelfFirst;
  Route.SelfFirst = Route.FirstHop != NoHop && View.members()[Route.FirstHop].Id == Self;
  Slot.SelfOwner = contains(Slot.Owners, Self) || contains(Slot.Joining, Self);
  return WasFirst != Route.SelfFirst;
}

void slot_directory::addHop(hop_list &Hops, member_id Member, const forwarding_view &View) const {
  if (Member == NoMember || Member == Self)
    return;
  const member_view *Known = View.findMember(Member);
  if (Known != nullptr && !Known->Suspected && Known->State != member_state::Dead)
    append(Hops, Member);
}

hop_list slot_directory::replicationHops(const slot_state &Slot, member_id AdditionalMember,
                                         const forwarding_view &View) const {
  hop_list Hops{};
  for (const member_id Member : Slot.Owners)
    addHop(Hops, Member, View);
  for (const member_id Member : Slot.Joining)
    addHop(Hops, Member, View);
  addHop(Hops, AdditionalMember, View);
  return Hops;
}

hop_list slot_directory::lookupHops(const slot_state &Slot, const forwarding_view &View,
                                    instant Now) const {
  hop_list Hops{};
  for (const member_id Member : Slot.Owners)
    addHop(Hops, Member, View);
  if (Now >= Slot.ConvergedAt)
    return Hops;
  for (const member_id Member : Slot.FormerOwners)
    addHop(Hops, Member, View);
  return Hops;
}

} // namespace briarpoint
