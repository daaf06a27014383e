#ifndef BRIARPOINT_PEER_REPLAY_WINDOW_H
#define BRIARPOINT_PEER_REPLAY_WINDOW_H

#include <bitset>
#include <cstdint>

namespace briarpoint {

/// Sequence numbers that were received from one process; each is accepted once. Numbers that are
/// too old to be remembered are refused.
class replay_window {
public:
  /// Numbers below the highest one that are told apart. Datagrams are reordered by far less.
  static constexpr std::uint64_t Size = 1024;

  /// Returns true if \p Sequence (at least 1) is new, and remembers it.
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
