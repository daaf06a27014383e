#include "core/target/prober_assignment.h"

#include "base/hash.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace briarpoint {

namespace {

/// Rendezvous hash key of the watchers. An arbitrary constant that is unlikely to equal a target
/// id.
constexpr std::uint64_t WatcherHashKey = 0x7761746368U;

/// Returns the ready members in rendezvous order for \p Key, highest score first.
std::vector<const member_view *> rankReadyMembers(std::uint64_t Key,
                                                  const std::vector<member_view> &Members) {
  std::vector<std::pair<std::uint64_t, const member_view *>> Ranked;
  for (const member_view &Member : Members)
    if (Member.State == member_state::Ready)
      Ranked.emplace_back(mixHash(static_cast<std::uint64_t>(Member.Id), Key), &Member);
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first : A.second->Id < B.second->Id;
  });
  std::vector<const member_view *> Result;
  Result.reserve(Ranked.size());
  for (const auto &[Score, Member] : Ranked)
    Result.push_back(Member);
  return Result;
}

} // namespace

std::vector<member_id> assignProbers(target_id Target, const std::vector<member_view> &Members,
                                     std::size_t Count) {
  const std::vector<const member_view *> Ranked =
      rankReadyMembers(static_cast<std::uint64_t>(Target), Members);
  std::vector<member_id> Probers;
  std::set<std::string_view> DataCentres;
  for (const member_view *Member : Ranked)
    if (Probers.size() < Count && DataCentres.insert(Member->DataCentre).second)
      Probers.push_back(Member->Id);
  for (const member_view *Member : Ranked)
    if (Probers.size() < Count &&
        std::find(Probers.begin(), Probers.end(), Member->Id) == Probers.end())
      Probers.push_back(Member->Id);
  return Probers;
}

bool isWatcher(member_id Self, std::string_view DataCentre, const std::vector<member_view> &Members,
               std::size_t Count) {
  std::size_t Rank = 0;
  for (const member_view *Member : rankReadyMembers(WatcherHashKey, Members)) {
    if (Member->DataCentre != DataCentre)
      continue;
    if (Rank++ == Count)
      return false;
    if (Member->Id == Self)
      return true;
  }
  return false;
}

} // namespace briarpoint
