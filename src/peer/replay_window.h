#ifndef BRIARPOINT_PEER_REPLAY_WINDOW_H
#define BRIARPOINT_PEER_REPLAY_WINDOW_H

#include <bitset>
#include <cstdint>

namespace briarpoint {

/// Sliding window of the sequence numbers that were received from one process. Each number is
/// accepted once; numbers below the window are refused.
class replay_window {
public:
  /// Width of the window in sequence numbers, up to the highest one received. Datagrams are
  /// reordered by far less.
  static constexpr std::uint64_t Size = 1024;

  /// Returns true and marks \p Sequence (at least 1) as received if it is new.
  bool accept(std::uint64_t Sequence) {
    if (Sequence > Highest) {
      const std::uint64_t Shift = Sequence - Highest;
      Seen = Shift >= Size ? std::bitset<Size>() : Seen << Shift;
      Highest = Sequence;
      Seen.set(0);
      return true;
    }
    const std::uint64_t Age = Highest - Sequence;
    if (Sequence == 0 || Age >= Size || Seen.test(Age))
      return false;
    Seen.set(Age);
    return true;
  }

private:
  std::uint64_t Highest = 0;
  std::bitset<Size> Seen;
};

} // namespace briarpoint

#endif // BRIARPOINT_PEER_REPLAY_WINDOW_H
