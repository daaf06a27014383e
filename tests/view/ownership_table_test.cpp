#include "base/hash.h"
#include "core/view/ownership_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace briarpoint {
namespace {

std::vector<member_view> arbitraryMembers() {
  std::vector<member_view> Members;
  const int Count = *rc::gen::inRange(0, 30);
  for (int I = 0; I < Count; ++I) {
    member_view Member;
    Member.Id = makeMemberId("m" + std::to_string(*rc::gen::inRange(0, 1000000)));
    Member.DataCentre = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
    Member.Rack = std::to_string(*rc::gen::inRange(0, 3));
    Member.State = static_cast<member_state>(*rc::gen::inRange(0, 4));
    const bool Known = std::any_of(Members.begin(), Members.end(),
                                   [&](const member_view &M) { return M.Id == Member.Id; });
    if (!Known)
      Members.push_back(Member);
  }
  return Members;
}

/// Reference implementation of the owners of a slot, as the design page defines them: sort all
/// members, then take the best of each failure domain, then the next best.
owner_list expectedOwners(std::vector<member_view> Members, ownership_scope Scope,
                          std::uint32_t Slot) {
  const auto Score = [&](const member_view &M) {
    return mixHash(static_cast<std::uint64_t>(M.Id), Slot);
  };
  std::sort(Members.begin(), Members.end(), [&](const member_view &A, const member_view &B) {
    return Score(A) != Score(B) ? Score(A) > Score(B) : A.Id < B.Id;
  });
  owner_list Owners{};
  std::size_t Count = 0;
  std::set<std::string> Domains;
  for (const member_view &M : Members)
    if (Count < OwnerCount &&
        Domains.insert(Scope == ownership_scope::All ? M.DataCentre : M.Rack).second)
      Owners[Count++] = M.Id;
  for (const member_view &M : Members)
    if (Count < OwnerCount && !contains(Owners, M.Id))
      Owners[Count++] = M.Id;
  return Owners;
}

// Guards against owners that differ from the definition, or depend on the order of the members.
RC_GTEST_PROP(ownership_table_build, FollowsTheDefinition, ()) {
  std::vector<member_view> Members = arbitraryMembers();
  const auto Scope = *rc::gen::element(ownership_scope::DataCentre, ownership_scope::All);
  const bool IncludeJoining = *rc::gen::arbitrary<bool>();
  const ownership_table Table = ownership_table::build(Members, Scope, "a", IncludeJoining);
  std::reverse(Members.begin(), Members.end());
  RC_ASSERT(Table == ownership_table::build(Members, Scope, "a", IncludeJoining));

  std::erase_if(Members, [&](const member_view &M) {
    const bool Owns =
        M.State == member_state::Ready || (IncludeJoining && M.State == member_state::Joining);
    return !Owns || (Scope == ownership_scope::DataCentre && M.DataCentre != "a");
  });
  for (std::uint32_t Slot = 0; Slot < OwnershipSlotCount; Slot += 37)
    RC_ASSERT(Table.owners(Slot) == expectedOwners(Members, Scope, Slot));
}

// Guards against neighbouring slots that always have the same owners, which halves the number of
// shares.
TEST(ownership_table_build, NeighbouringSlotsAreIndependent) {
  std::vector<member_view> Members(18);
  for (std::size_t I = 0; I < Members.size(); ++I) {
    Members[I].Id = makeMemberId("m" + std::to_string(I));
    Members[I].State = member_state::Ready;
  }
  const ownership_table Table =
      ownership_table::build(Members, ownership_scope::DataCentre, "", false);
  std::size_t Equal = 0;
  for (std::uint32_t Slot = 0; Slot < OwnershipSlotCount; Slot += 2)
    Equal += Table.owners(Slot)[0] == Table.owners(Slot + 1)[0] ? 1 : 0;
  // 2,048 pairs of 18 members: 114 expected by chance.
  EXPECT_LT(Equal, 200U);
}

} // namespace
} // namespace briarpoint
