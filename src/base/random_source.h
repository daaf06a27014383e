#ifndef BRIARPOINT_BASE_RANDOM_SOURCE_H
#define BRIARPOINT_BASE_RANDOM_SOURCE_H

#include <cstdint>

namespace briarpoint {

/// 128-bit unsigned integer, a compiler extension.
__extension__ using uint128 = unsigned __int128;

/// Source of random numbers, passed to the core so that a run can be reproduced from its seed.
class random_source {
public:
  virtual ~random_source() = default;

  /// Returns 64 uniformly distributed bits.
  virtual std::uint64_t next() = 0;

  /// Returns a value in [0, Bound). \p Bound must not be 0.
  std::uint64_t below(std::uint64_t Bound) {
    return static_cast<std::uint64_t>((static_cast<uint128>(next()) * Bound) >> 64U);
  }

  /// Returns a value in [0, 1).
  double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

} // namespace briarpoint

#endif // BRIARPOINT_BASE_RANDOM_SOURCE_H
