#ifndef BRIARPOINT_BASE_HASH_H
#define BRIARPOINT_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace briarpoint {

/// Returns the 64-bit XXH3 hash of the bytes. The value is the same in every process and version.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// Mixes two 64-bit values into one; used for rendezvous hashing.
constexpr std::uint64_t mixHash(std::uint64_t First, std::uint64_t Second) {
  // The finalizer of SplitMix64, applied to an asymmetric combination. With the odd factor,
  // different values of Second never give the same combination for one value of First.
  std::uint64_t Value = First + 0x9e3779b97f4a7c15U * Second;
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

} // namespace briarpoint

#endif // BRIARPOINT_BASE_HASH_H
