// Queries and outgoing updates of member_controller.
#include "core/member/member_controller.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace briarpoint {

const member_entry *member_controller::find(member_id Member) const {
  const auto Found = Entries.find(Member);
  return Found == Entries.end() ? nullptr : &Found->second;
}

std::vector<member_id> member_controller::accusedBySelf() const {
  std::vector<member_id> Result;
  for (const auto &[Id, Entry] : Entries)
    if (!Entry.isDead() && Entry.Accusers.contains(Self.Id))
      Result.push_back(Id);
  return Result;
}

std::vector<member_info> member_controller::takeUpdates(std::size_t Limit, std::uint32_t Copies) {
  std::vector<member_info> Result;
  for (const member_id Id : Updates.take(Limit, Copies)) {
    // Each heartbeat carries the sender's own entry anyway.
    if (const member_entry *Entry = find(Id))
      Result.push_back(Entry->Info);
  }
  return Result;
}

std::vector<member_suspicion> member_controller::takeSuspicions(std::size_t Limit,
                                                                std::uint32_t Copies, instant Now) {
  std::vector<member_suspicion> Result;
  for (const member_id Id : accusedBySelf())
    if (Result.size() < Limit)
      Result.push_back({Id, find(Id)->Info.Incarnation, Self.Id});
  for (const auto &[Id, Accuser] : RelayedAccusations.take(Limit - Result.size(), Copies)) {
    const member_entry *Entry = find(Id);
    if (Entry == nullptr || Entry->isDead())
      continue;
    const auto Found = Entry->Accusers.find(Accuser);
    if (Found != Entry->Accusers.end() && Now < Found->second)
      Result.push_back({Id, Entry->Info.Incarnation, Accuser});
  }
  return Result;
}

bool member_controller::takeUrgent() { return std::exchange(Urgent, false); }

std::uint64_t member_controller::digest() const {
  // A sum doesn't depend on the order.
  const auto HashOf = [](const member_info &Info) {
    return mixHash(static_cast<std::uint64_t>(Info.Id),
                   mixHash(Info.Incarnation, static_cast<std::uint64_t>(Info.State)));
  };
  std::uint64_t Sum = HashOf(Self);
  for (const auto &[Id, Entry] : Entries)
    if (!Entry.isDead())
      Sum += HashOf(Entry.Info);
  return Sum;
}

std::vector<member_info> member_controller::fullState(instant Now) const {
  std::vector<member_info> Result{Self};
  for (const auto &[Id, Entry] : Entries)
    if (!Entry.isDead() || Now < Entry.DisseminateUntil)
      Result.push_back(Entry.Info);
  return Result;
}

std::optional<member_info> member_controller::pickLostMember(random_source &Random) const {
  std::vector<const member_entry *> Lost;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.isDead() && !Entry.Left)
      Lost.push_back(&Entry);
  if (Lost.empty())
    return std::nullopt;
  return Lost[Random.below(Lost.size())]->Info;
}

bool member_controller::isKnownControl(const endpoint &Control) const {
  return Control == Self.Control ||
         std::any_of(Entries.begin(), Entries.end(), [&](const auto &Item) {
           return !Item.second.isDead() && Item.second.Info.Control == Control;
         });
}

std::vector<member_view> member_controller::views() const {
  const auto ToView = [](const member_info &Info, bool Suspected) {
    return member_view{Info.Id, Info.DataCentre, Info.Rack, Info.Data, Info.State, Suspected};
  };
  std::vector<member_view> Result;
  bool Added = false;
  for (const auto &[Id, Entry] : Entries) {
    if (!Added && Self.Id < Id) {
      Result.push_back(ToView(Self, false));
      Added = true;
    }
    if (!Entry.isDead())
      Result.push_back(ToView(Entry.Info, Entry.Suspected));
  }
  if (!Added)
    Result.push_back(ToView(Self, false));
  return Result;
}

bool member_controller::allReachable() const {
  return Settings.Scope == ownership_scope::DataCentre || unreachableDataCentres().empty();
}

std::set<std::string> member_controller::unreachableDataCentres() const {
  // Some members of the other data centre may have no monitor in this one and stay unsuspected for
  // long. So a data centre counts as unreachable once half of its members are lost.
  std::map<std::string, int> LostMinusPresent;
  for (const auto &[Id, Entry] : Entries) {
    if (Entry.Left || Entry.Info.DataCentre == Self.DataCentre)
      continue;
    const bool Lost = Entry.isDead() || Entry.Suspected;
    LostMinusPresent[Entry.Info.DataCentre] += Lost ? 1 : -1;
  }
  std::set<std::string> Unreachable;
  for (const auto &[DataCentre, Difference] : LostMinusPresent)
    if (Difference >= 0)
      Unreachable.insert(DataCentre);
  return Unreachable;
}

} // namespace briarpoint
