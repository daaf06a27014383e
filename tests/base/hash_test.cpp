#include "base/hash.h"

#include "base/seeded_random.h"

#include <gtest/gtest.h>

#include <set>

namespace briarpoint {
namespace {

// Guards against a mixing function that ignores bits of an argument. Neighbouring ownership slots
// would get the same owners, and a seeded random source would repeat values.
TEST(mix_hash, NeighbouringArgumentsGiveDifferentValues) {
  std::set<std::uint64_t> Values;
  for (std::uint64_t I = 0; I < 1000; ++I) {
    Values.insert(mixHash(1, I));
    Values.insert(mixHash(I + 2, 5));
    Values.insert(mixHash(1, I << 33U | 1U << 20U));
  }
  EXPECT_EQ(Values.size(), 3000U);
}

// Guards against a seeded random source that repeats values.
TEST(seeded_random_source, DoesNotRepeatValues) {
  seeded_random Random{7};
  std::set<std::uint64_t> Values;
  for (int I = 0; I < 1000; ++I)
    Values.insert(Random.next());
  EXPECT_EQ(Values.size(), 1000U);
}

} // namespace
} // namespace briarpoint
