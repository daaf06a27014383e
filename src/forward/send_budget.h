#ifndef BRIARPOINT_FORWARD_SEND_BUDGET_H
#define BRIARPOINT_FORWARD_SEND_BUDGET_H

#include "base/instant.h"

#include <algorithm>
#include <cstddef>

namespace briarpoint {

/// Limits the mean rate of control traffic, with room for bursts (a leaky bucket as a virtual
/// schedule). Spending more than is available delays what follows.
class send_budget {
public:
  /// Bytes per second on average. The control traffic of a balancer stays below 17 kB/s, and other
  /// messages take about half of that.
  static constexpr double BytesPerSecond = 8000;
  /// Bytes that may be sent at once after a quiet time: the notices and announcements for 30 of 120
  /// targets to 112 balancers, repeated for 6 s, are about 400 kB.
  static constexpr double BurstBytes = 512'000;

  bool available(instant Now) const { return Now >= SpentUntil; }
  void spend(std::size_t Bytes, instant Now) {
    SpentUntil =
        std::max(SpentUntil, Now - timeFor(BurstBytes)) + timeFor(static_cast<double>(Bytes));
  }

private:
  static duration timeFor(double Bytes) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Bytes / BytesPerSecond));
  }

  /// Time for which the bytes sent so far use up the rate.
  instant SpentUntil = instant::min();
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_SEND_BUDGET_H
