#include "config/target_config.h"

#include "base/hash.h"

namespace briarpoint {

target_id makeTargetId(const std::string &ServiceName, const target_config &Target) {
  // Names can't contain a line feed, so the concatenation is unambiguous.
  const std::uint64_t Hash =
      hashBytes(ServiceName + '\n' + Target.Name + '\n' + toString(Target.Tunnel));
  return target_id{Hash == 0 ? 1 : Hash};
}

} // namespace briarpoint
