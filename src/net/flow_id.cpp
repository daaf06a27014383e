#include "net/flow_id.h"

#include <cstring>

// Inlined, because the length is constant: the compiler drops the code for all other lengths.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace briarpoint {

flow_id makeFlowId(const flow_key &Key, std::uint64_t Seed) {
  return makeFlowId(Key.Caller, Key.Service, Key.Protocol, Seed);
}

flow_id makeFlowId(const endpoint &Caller, const endpoint &Service, transport Protocol,
                   std::uint64_t Seed) {
  // Two addresses, two ports, protocol and address family; unused address bytes are 0. The hash
  // function reads 8-byte words at multiples of 8 bytes; that is fastest if they were written as
  // such words.
  std::array<std::uint64_t, 5> Words{};
  std::memcpy(&Words[0], Caller.Address.Bytes.data(), 16);
  std::memcpy(&Words[2], Service.Address.Bytes.data(), 16);
  Words[4] = static_cast<std::uint64_t>(Caller.Port) << 48U |
             static_cast<std::uint64_t>(Service.Port) << 32U |
             static_cast<std::uint64_t>(Protocol) << 8U | (Service.Address.IsV6 ? 1U : 0U);
  const XXH128_hash_t Hash = XXH3_128bits_withSeed(Words.data(), sizeof(Words), Seed);
  return flow_id{Hash.high64, Hash.low64};
}

} // namespace briarpoint
