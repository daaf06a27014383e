#ifndef BRIARPOINT_FORWARD_CALLER_SHARES_H
#define BRIARPOINT_FORWARD_CALLER_SHARES_H

#include "base/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace briarpoint {

/// Distributes rejections of one service and priority among callers: what a caller offers far above
/// the mean is rejected first, the rest evenly. Made for one client account that offers many times
/// as much as the others while there is too little room.
class caller_shares {
public:
  /// Time over which opening packets are counted.
  static constexpr duration Window = std::chrono::seconds(2);
  /// A caller is far above the mean if it offers more than this many times the mean, and at least
  /// MinHeavyCount opening packets. Smaller counts scatter.
  static constexpr double HeavyFactor = 2;
  static constexpr double MinHeavyCount = 4;
  /// Bounds the memory if a flood of opening packets arrives.
  static constexpr std::size_t MaxOffers = 20'000;

  void onOffered(std::uint32_t Caller, instant Now);

  /// Returns the share of the caller's flows to admit if \p Admitted is the share of all flows.
  double admittedShare(std::uint32_t Caller, double Admitted, instant Now);

private:
  /// Interval at which the sums over all callers are renewed; they take time in proportion to the
  /// number of callers.
  static constexpr duration SumInterval = std::chrono::milliseconds(100);

  void removeOldest();
  void updateSums(instant Now);
  bool isHeavy(double Count) const { return Count >= MinHeavyCount && Count > HeavyFactor * Mean; }

  std::deque<std::pair<instant, std::uint32_t>> Offers;
  std::unordered_map<std::uint32_t, std::uint32_t> Counts;
  instant SumsExpireAt{};
  /// Mean number of opening packets of a caller, and the sum of what heavy callers offer above it.
  double Mean = 0;
  double Excess = 0;
  double Total = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_CALLER_SHARES_H
