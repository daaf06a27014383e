#include "base/hash.h"

#include <xxhash.h>

namespace briarpoint {

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

} // namespace briarpoint
