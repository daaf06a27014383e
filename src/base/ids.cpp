#include "base/ids.h"

#include "base/hash.h"

namespace briarpoint {

member_id makeMemberId(std::string_view Name) {
  const std::uint64_t Hash = hashBytes(Name);
  return member_id{Hash == 0 ? 1 : Hash};
}

} // namespace briarpoint
