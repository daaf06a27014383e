#ifndef BRIARPOINT_CORE_MEMBER_DISSEMINATION_QUEUE_H
#define BRIARPOINT_CORE_MEMBER_DISSEMINATION_QUEUE_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

namespace briarpoint {

/// Returns how often each update is sent by one process in a group of \p Members other members.
inline std::uint32_t disseminationCopies(std::size_t Members) {
  return static_cast<std::uint32_t>(std::ceil(2.0 * std::log2(static_cast<double>(Members) + 1)));
}

/// Queue of update keys, each sent a limited number of times. Keys with the most remaining copies,
/// which are the newest ones, come first.
template <typename Key> class dissemination_queue {
public:
  /// Queues \p Item for \p Copies more transmissions.
  void add(const Key &Item, std::uint32_t Copies) { Remaining[Item] = Copies; }

  bool empty() const { return Remaining.empty(); }

  /// Returns at most \p Limit items for a message to \p Receivers members, and counts that many
  /// copies of each as sent.
  std::vector<Key> take(std::size_t Limit, std::uint32_t Receivers) {
    std::vector<std::pair<std::uint32_t, Key>> Ranked;
    for (const auto &[Item, Copies] : Remaining)
      Ranked.emplace_back(Copies, Item);
    std::stable_sort(Ranked.begin(), Ranked.end(),
                     [](const auto &A, const auto &B) { return A.first > B.first; });
    if (Ranked.size() > Limit)
      Ranked.resize(Limit);
    std::vector<Key> Taken;
    for (const auto &[Copies, Item] : Ranked) {
      Taken.push_back(Item);
      if (Copies <= Receivers)
        Remaining.erase(Item);
      else
        Remaining[Item] = Copies - Receivers;
    }
    return Taken;
  }

private:
  std::map<Key, std::uint32_t> Remaining;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_DISSEMINATION_QUEUE_H
