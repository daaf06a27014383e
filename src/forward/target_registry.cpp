#include "forward/target_registry.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace briarpoint {

namespace {

/// Returns whether \p A owns the token rather than \p B if both have the same one.
bool precedes(const target &A, const target &B) {
  const auto Rank = [](const target &Target) {
    const target_registration &Entry = Target.Registration;
    return std::tuple<bool, bool, bool, std::uint64_t, const std::string &>(
        Target.TokenReleased, !Target.ServiceNamed, Entry.StartedMs == 0, Entry.StartedMs,
        Entry.Name);
  };
  return Rank(A) < Rank(B);
}

} // namespace

void target_registry::put(const target_registration &Registration, instant Now) {
  std::unique_ptr<target> &Entry = Targets[Registration.Name];
  const bool Known = Entry != nullptr;
  if (Known && Registration.position() < Entry->Registration.position())
    return;
  if (!Known)
    Entry = std::make_unique<target>();
  const bool Changed = !Known || Registration.position() != Entry->Registration.position();
  const bool SameProcess = Known && Entry->Registration.StartedMs == Registration.StartedMs;
  const bool Restarted = Known && !SameProcess;
  const bool NewEra = Known && Registration.Era > Entry->Registration.Era;
  const bool StaysDraining = SameProcess && Now < RecoveryEndsAt && Entry->draining(Now);
  // The order of precedes() only matters if two targets have the same token.
  const bool TokensCollide = Tokens.size() < Targets.size();
  const bool IndexChanges = Known && (Entry->Registration.Service != Registration.Service ||
                                      (TokensCollide && (Restarted || Entry->TokenReleased)));
  Entry->Registration = Registration;
  Entry->DrainingUntil = StaysDraining ? RecoveryEndsAt : instant{};
  Entry->Token = makeFlowToken(Registration.Number);
  Entry->Local = Registration.DataCentre == Settings.DataCentre;
  Entry->ServiceNamed = isNamed(Registration.Service);
  Entry->Evacuated = Evacuated.contains(Registration.DataCentre);
  Entry->RemovedAt = Never;
  Entry->GoneAt = Never;
  Entry->Lapsed = false;
  Entry->TokenReleased = false;
  // An entry of the copy may state a warm-up that ended meanwhile.
  const instant WarmUpEndsAt = Now + std::chrono::milliseconds(Registration.WarmUpMs);
  if (NewEra && SameProcess)
    Entry->WarmUpEndsAt = std::min(Entry->WarmUpEndsAt, WarmUpEndsAt);
  else if (Changed)
    Entry->WarmUpEndsAt = WarmUpEndsAt;
  // Observations of the earlier process don't apply to the new one.
  if (Restarted) {
    Entry->Health = inferred_health();
    Entry->ResponseTime = response_time();
    Entry->AnsweredAt = {};
    Entry->ReportedUntil = {};
    Entry->DeadUntil = {};
    Entry->EndsFlowsUntil = {};
    Entry->FailingUntil = {};
    Entry->Failures = 0;
  }
  if (!Known)
    addToIndex(*Entry);
  else if (IndexChanges)
    rebuildIndex();
}

void target_registry::remove(const std::string &Name, const store_position &Position, instant Now) {
  target *Entry = find(Name);
  if (Entry == nullptr || Entry->removed() || Position < Entry->Registration.position())
    return;
  Entry->RemovedAt = Now;
  // A draining target announced its end, so it is gone. The entry of any other one may have lapsed.
  Entry->GoneAt = Entry->draining(Now) ? Now : Now + Settings.LapseGracePeriod;
}

void target_registry::replaceAll(std::span<const target_registration> Registrations,
                                 const store_position &Position, instant Now) {
  std::set<std::string_view> Listed;
  for (const target_registration &Registration : Registrations) {
    put(Registration, Now);
    Listed.insert(Registration.Name);
  }
  std::vector<target *> Missing;
  for (const auto &[Name, Entry] : Targets)
    if (!Listed.contains(Name) && !Entry->removed() && Position >= Entry->Registration.position())
      Missing.push_back(Entry.get());
  // Most targets don't end at the same time: if most entries are missing, they have lapsed.
  const bool MassLapse = Missing.size() > Registrations.size();
  for (target *Entry : Missing) {
    Entry->RemovedAt = Now;
    Entry->GoneAt = Now + Settings.LapseGracePeriod;
    Entry->Lapsed = MassLapse || Now < RecoveryEndsAt;
  }
}

void target_registry::setEvacuated(const evacuation_table::data_centres &DataCentres) {
  if (Evacuated == DataCentres)
    return;
  Evacuated = DataCentres;
  for (const auto &[Name, Entry] : Targets)
    Entry->Evacuated = Evacuated.contains(Entry->Registration.DataCentre);
}

void target_registry::setNamedServices(std::set<std::string> Names) {
  if (NamedServices == Names)
    return;
  NamedServices = std::move(Names);
  for (const auto &[Name, Entry] : Targets)
    Entry->ServiceNamed = isNamed(Entry->Registration.Service);
  if (Tokens.size() < Targets.size())
    rebuildIndex();
}

void target_registry::expire(instant Now) {
  const std::size_t Erased = std::erase_if(Targets, [&](const auto &Entry) {
    return Entry.second->removed() && Entry.second->OpenFlows == 0 &&
           Now - Entry.second->RemovedAt >= Settings.FlowLifetime;
  });
  if (Erased > 0)
    rebuildIndex();
}

target *target_registry::findByToken(flow_token Token) {
  const auto Found = Tokens.find(static_cast<std::uint32_t>(Token));
  return Found == Tokens.end() ? nullptr : Found->second;
}

target *target_registry::releaseToken(target &Removed) {
  // Without a collision, each target is in Tokens.
  if (!Removed.removed() || !Removed.OwnsToken || Tokens.size() == Targets.size())
    return nullptr;
  target *Next = nullptr;
  for (const auto &[Name, Entry] : Targets)
    if (Entry->Token == Removed.Token && !Entry->removed() &&
        (Next == nullptr || precedes(*Entry, *Next)))
      Next = Entry.get();
  if (Next == nullptr)
    return nullptr;
  Removed.OwnsToken = false;
  Removed.TokenReleased = true;
  Next->OwnsToken = true;
  Tokens[static_cast<std::uint32_t>(Next->Token)] = Next;
  return Next;
}

target *target_registry::find(const std::string &Name) {
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : Found->second.get();
}

std::span<target *const> target_registry::findByService(const std::string &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? std::span<target *const>() : Found->second;
}

void target_registry::addToIndex(target &Target) {
  Services[Target.Registration.Service].push_back(&Target);
  target *&Owner = Tokens[static_cast<std::uint32_t>(Target.Token)];
  Target.OwnsToken = Owner == nullptr || precedes(Target, *Owner);
  if (!Target.OwnsToken)
    return;
  if (Owner != nullptr)
    Owner->OwnsToken = false;
  Owner = &Target;
}

void target_registry::rebuildIndex() {
  Services.clear();
  Tokens.clear();
  for (const auto &[Name, Entry] : Targets)
    addToIndex(*Entry);
}

} // namespace briarpoint
