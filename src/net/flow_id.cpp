#include "net/flow_id.h"

#include <algorithm>
#include <xxhash.h>

namespace briarpoint {

flow_id makeFlowId(const flow_key &Key, std::uint64_t Seed) {
  // Two addresses, two ports, protocol and address family; unused address bytes are 0.
  std::array<std::uint8_t, 38> Bytes{};
  std::copy_n(Key.Caller.Address.Bytes.begin(), 16, Bytes.begin());
  std::copy_n(Key.Service.Address.Bytes.begin(), 16, Bytes.begin() + 16);
  Bytes[32] = static_cast<std::uint8_t>(Key.Caller.Port >> 8U);
  Bytes[33] = static_cast<std::uint8_t>(Key.Caller.Port);
  Bytes[34] = static_cast<std::uint8_t>(Key.Service.Port >> 8U);
  Bytes[35] = static_cast<std::uint8_t>(Key.Service.Port);
  Bytes[36] = static_cast<std::uint8_t>(Key.Protocol);
  Bytes[37] = Key.Service.Address.IsV6 ? 1 : 0;
  const XXH128_hash_t Hash = XXH3_128bits_withSeed(Bytes.data(), Bytes.size(), Seed);
  return flow_id{Hash.high64, Hash.low64};
}

} // namespace briarpoint
