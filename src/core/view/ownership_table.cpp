#include "core/view/ownership_table.h"

#include "base/hash.h"

#include <algorithm>

namespace briarpoint {

namespace {

struct candidate {
  std::uint64_t Score = 0;
  const member_view *Member = nullptr;
};

/// Returns the label that owners should differ in: data centre for scope All, rack for scope
/// DataCentre.
const std::string &failureDomain(const member_view &Member, ownership_scope Scope) {
  return Scope == ownership_scope::All ? Member.DataCentre : Member.Rack;
}

/// Picks the owners of one slot from candidates in descending order of score.
owner_list pickOwners(const std::vector<candidate> &Ranked, ownership_scope Scope) {
  owner_list Owners{};
  std::size_t Count = 0;
  std::array<const std::string *, OwnerCount> Domains{};

  // First pass: the best member of each failure domain.
  for (const candidate &Candidate : Ranked) {
    if (Count == OwnerCount)
      return Owners;
    const std::string &Domain = failureDomain(*Candidate.Member, Scope);
    const bool Seen = std::any_of(Domains.begin(), Domains.begin() + Count,
                                  [&](const std::string *Other) { return *Other == Domain; });
    if (Seen)
      continue;
    Domains[Count] = &Domain;
    Owners[Count++] = Candidate.Member->Id;
  }

  // Second pass: the next best members, whatever their domain.
  for (const candidate &Candidate : Ranked) {
    if (Count == OwnerCount)
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
      Candidates.push_back({0, &Member});
  }

  // Rank them for each slot. Ties are broken by id, so that the order of Members doesn't matter.
  ownership_table Table;
  for (std::uint32_t Slot = 0; Slot < OwnershipSlotCount; ++Slot) {
    for (candidate &Candidate : Candidates)
      Candidate.Score = mixHash(static_cast<std::uint64_t>(Candidate.Member->Id), Slot);
    std::sort(Candidates.begin(), Candidates.end(), [](const candidate &A, const candidate &B) {
      return A.Score != B.Score ? A.Score > B.Score : A.Member->Id < B.Member->Id;
    });
    Table.Slots[Slot] = pickOwners(Candidates, Scope);
  }
  return Table;
}

} // namespace briarpoint
