#include "core/view/ownership_table.h"

#include "base/hash.h"

#include <algorithm>

namespace briarpoint {

namespace {

struct candidate {
  std::uint64_t Score = 0;
  const member_view *Member = nullptr;
  /// Index of the member's failure domain.
  std::size_t Domain = 0;
};

/// True if \p A comes before \p B in rendezvous order. Ties are broken by id, so that the order of
/// the members doesn't matter.
bool ranksHigher(const candidate &A, const candidate &B) {
  return A.Score != B.Score ? A.Score > B.Score : A.Member->Id < B.Member->Id;
}

/// Returns the label that owners should differ in: data centre for scope All, rack for scope
/// DataCentre.
const std::string &failureDomain(const member_view &Member, ownership_scope Scope) {
  return Scope == ownership_scope::All ? Member.DataCentre : Member.Rack;
}

/// Numbers the failure domains from 0 and sets the number of each candidate; returns the number of
/// domains.
std::size_t numberDomains(std::vector<candidate> &Candidates, ownership_scope Scope) {
  std::vector<const std::string *> Domains;
  for (candidate &Candidate : Candidates) {
    const std::string &Domain = failureDomain(*Candidate.Member, Scope);
    const auto Found = std::find_if(Domains.begin(), Domains.end(),
                                    [&](const std::string *Other) { return *Other == Domain; });
    Candidate.Domain = static_cast<std::size_t>(Found - Domains.begin());
    if (Found == Domains.end())
      Domains.push_back(&Domain);
  }
  return Domains.size();
}

/// Inserts \p Candidate into a list in rendezvous order and drops the last entry.
void insertRanked(std::array<candidate, OwnerCount> &Ranked, const candidate &Candidate) {
  std::size_t Position = OwnerCount;
  while (Position > 0 &&
         (Ranked[Position - 1].Member == nullptr || ranksHigher(Candidate, Ranked[Position - 1])))
    --Position;
  if (Position == OwnerCount)
    return;
  std::move_backward(Ranked.begin() + Position, Ranked.end() - 1, Ranked.end());
  Ranked[Position] = Candidate;
}

/// Picks the owners of one slot. Sorting all candidates would take most of the time of a rebuild;
/// the best four and the best of each failure domain are enough.
owner_list pickOwners(const std::vector<candidate> &Candidates,
                      std::vector<candidate> &DomainBest) {
  std::array<candidate, OwnerCount> Best{};
  std::fill(DomainBest.begin(), DomainBest.end(), candidate{});
  for (const candidate &Candidate : Candidates) {
    insertRanked(Best, Candidate);
    candidate &Leader = DomainBest[Candidate.Domain];
    if (Leader.Member == nullptr || ranksHigher(Candidate, Leader))
      Leader = Candidate;
  }

  // First pass: the best member of each failure domain.
  std::array<candidate, OwnerCount> Leaders{};
  for (const candidate &Leader : DomainBest)
    insertRanked(Leaders, Leader);
  owner_list Owners{};
  std::size_t Count = 0;
  for (const candidate &Leader : Leaders)
    if (Leader.Member != nullptr)
      Owners[Count++] = Leader.Member->Id;

  // Second pass: the next best members, whatever their domain.
  for (const candidate &Candidate : Best) {
    if (Count == OwnerCount || Candidate.Member == nullptr)
      break;
    if (!contains(Owners, Candidate.Member->Id))
      Owners[Count++] = Candidate.Member->Id;
  }
  return Owners;
}

} // namespace

bool contains(const owner_list &Owners, member_id Member) {
  return std::find(Owners.begin(), Owners.end(), Member) != Owners.end();
}

ownership_table::ownership_table() : Slots(OwnershipSlotCount) {}

ownership_table ownership_table::build(const std::vector<member_view> &Members,
                                       ownership_scope Scope, const std::string &DataCentre,
                                       bool IncludeJoining) {
  // Select the members that may own flows.
  std::vector<candidate> Candidates;
  for (const member_view &Member : Members) {
    const bool Eligible = Member.State == member_state::Ready ||
                          (IncludeJoining && Member.State == member_state::Joining);
    if (Eligible && (Scope == ownership_scope::All || Member.DataCentre == DataCentre))
      Candidates.push_back({0, &Member, 0});
  }

  // Rank them for each slot.
  std::vector<candidate> DomainBest(numberDomains(Candidates, Scope));
  ownership_table Table;
  for (std::uint32_t Slot = 0; Slot < OwnershipSlotCount; ++Slot) {
    for (candidate &Candidate : Candidates)
      Candidate.Score = mixHash(static_cast<std::uint64_t>(Candidate.Member->Id), Slot);
    Table.Slots[Slot] = pickOwners(Candidates, DomainBest);
  }
  return Table;
}

} // namespace briarpoint
