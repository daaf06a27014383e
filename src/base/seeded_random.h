#ifndef BRIARPOINT_BASE_SEEDED_RANDOM_H
#define BRIARPOINT_BASE_SEEDED_RANDOM_H

#include "base/hash.h"
#include "base/random_source.h"

namespace briarpoint {

/// Deterministic random source: a hashed counter. Must not be used for secrets.
class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : Seed(Seed) {}

  std::uint64_t next() override { return mixHash(Seed, ++Counter); }

private:
  std::uint64_t Seed;
  std::uint64_t Counter = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_BASE_SEEDED_RANDOM_H
