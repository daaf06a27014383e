#include "store/recovering_names.h"

namespace briarpoint {

void recovering_names::replaceAll(const std::set<std::string> &Names, instant Now) {
  const bool Recovering = Now < RecoveryEndsAt;
  for (const std::string &Name : Names)
    Entries.try_emplace(Name);
  for (auto &[Name, Entry] : Entries) {
    const bool Counted = counts(Entry, Now);
    const bool WasRemoved = Entry.RemovedAt != Never;
    const bool Listed = Names.contains(Name);
    if (Recovering && Counted && !Listed)
      Entry.KeptUntil = RecoveryEndsAt;
    if (Recovering && !Counted && Listed && WasRemoved)
      Entry.HeldBackUntil = RecoveryEndsAt;
    if (!Recovering && Entry.Listed && !Listed)
      Entry.RemovedAt = Now;
    Entry.Listed = Listed;
  }
  std::erase_if(Entries, [&](const auto &Item) {
    const entry &Entry = Item.second;
    return !Entry.Listed && Now >= Entry.KeptUntil &&
           (Entry.RemovedAt == Never || Now - Entry.RemovedAt >= RemovalMemory);
  });
}

void recovering_names::add(const std::string &Name) { Entries[Name] = {true, {}, {}, Never}; }

void recovering_names::remove(const std::string &Name, instant Now) {
  Entries[Name] = {false, {}, {}, Now};
}

bool recovering_names::contains(const std::string &Name, instant Now) const {
  const auto Found = Entries.find(Name);
  return Found != Entries.end() && counts(Found->second, Now);
}

std::set<std::string> recovering_names::all(instant Now) const {
  std::set<std::string> Result;
  for (const auto &[Name, Entry] : Entries)
    if (counts(Entry, Now))
      Result.insert(Name);
  return Result;
}

} // namespace briarpoint
