#include "standins/object_database.h"

namespace briarpoint::standins {

std::optional<object_database::object> object_database::get(const std::string &Kind,
                                                            const std::string &Name) const {
  const auto Objects = Kinds.find(Kind);
  if (Objects == Kinds.end())
    return std::nullopt;
  const auto Found = Objects->second.find(Name);
  return Found == Objects->second.end() ? std::nullopt : std::optional(Found->second);
}

std::vector<object_database::object>
object_database::list(const std::string &Kind, const std::string &After, std::size_t Limit) const {
  std::vector<object> Result;
  const auto Objects = Kinds.find(Kind);
  if (Objects == Kinds.end())
    return Result;
  for (auto It = Objects->second.upper_bound(After);
       It != Objects->second.end() && Result.size() < Limit; ++It)
    Result.push_back(It->second);
  return Result;
}

object_database::write_result
object_database::create(const std::string &Kind, const std::string &Name, nlohmann::json Spec) {
  if (std::optional<object> Present = get(Kind, Name))
    return {false, std::move(Present)};
  ++Revision;
  object &Object = Kinds[Kind][Name];
  Object = {Name, Revision, Revision, std::move(Spec)};
  record(Kind, Object, false);
  return {true, Object};
}

object_database::write_result object_database::replace(const std::string &Kind,
                                                       const std::string &Name,
                                                       std::uint64_t ExpectedRevision,
                                                       nlohmann::json Spec) {
  const std::optional<object> Present = get(Kind, Name);
  if (!Present || (ExpectedRevision != 0 && ExpectedRevision != Present->Revision))
    return {false, Present};
  object &Object = Kinds[Kind][Name];
  // A write that doesn't change the object creates no revision.
  if (Object.Spec == Spec)
    return {true, Object};
  Object.Revision = ++Revision;
  Object.Spec = std::move(Spec);
  record(Kind, Object, false);
  return {true, Object};
}

bool object_database::remove(const std::string &Kind, const std::string &Name) {
  std::optional<object> Present = get(Kind, Name);
  if (!Present)
    return false;
  Kinds[Kind].erase(Name);
  Present->Revision = ++Revision;
  record(Kind, *Present, true);
  return true;
}

std::optional<std::vector<object_database::change>>
object_database::changes(const std::string &Kind, std::uint64_t After) const {
  if (After < HistoryStart || After > Revision)
    return std::nullopt;
  std::vector<change> Result;
  for (const change &Change : History)
    if (Change.Kind == Kind && Change.Object.Revision > After)
      Result.push_back(Change);
  return Result;
}

void object_database::keepCopy() {
  Copy = nullptr;
  Copy = std::make_shared<const object_database>(*this);
}

void object_database::comeBackFromCopy() {
  const std::shared_ptr<const object_database> Kept =
      Copy ? Copy : std::make_shared<const object_database>();
  const std::uint64_t NextEra = Era + 1;
  *this = *Kept;
  Era = NextEra;
  Copy = Kept;
}

void object_database::record(const std::string &Kind, const object &Object, bool Deleted) {
  // Enough for the tests; older changes are discarded.
  constexpr std::size_t MaxHistory = 10'000;
  History.push_back({Kind, Object, Deleted});
  if (History.size() <= MaxHistory)
    return;
  HistoryStart = History.front().Object.Revision;
  History.pop_front();
}

} // namespace briarpoint::standins
