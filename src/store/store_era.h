#ifndef BRIARPOINT_STORE_STORE_ERA_H
#define BRIARPOINT_STORE_STORE_ERA_H

#include "store/era_listener.h"

#include <optional>
#include <vector>

namespace briarpoint {

/// What an answer of the store shows about its era.
enum class era_observation : std::uint8_t {
  Current,
  /// The era is above the highest one before. The listeners were notified.
  Rose,
  /// The answer is from before the store's last return from a copy.
  Outdated,
};

/// The highest era in the answers of a store. One object serves all clients of the store in a
/// process, so that a rise that one of them sees is known to all.
///
/// The first era isn't a rise: a process that has just started has no newer state that it could
/// lose. Another process may report the rise.
class store_era {
public:
  /// Listeners are notified in the order in which they join. \p Listener must outlive the last call
  /// of observe().
  void join(era_listener &Listener) { Listeners.push_back(&Listener); }

  /// Call it with the era of each answer that shows a state of the store.
  era_observation observe(std::uint64_t Era);

  /// Another process saw the rise to the current era at \p RoseAt. Has no effect if this process
  /// saw it, too, or after an earlier report.
  void observeRemoteRise(instant RoseAt);

  /// The highest era so far; 0 before the first answer.
  std::uint64_t current() const { return Highest.value_or(0); }

private:
  std::optional<std::uint64_t> Highest;
  /// The rise to the highest era was seen here or reported.
  bool RiseObserved = false;
  std::vector<era_listener *> Listeners;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_STORE_ERA_H
