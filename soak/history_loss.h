#ifndef BRIARPOINT_SOAK_HISTORY_LOSS_H
#define BRIARPOINT_SOAK_HISTORY_LOSS_H

#include "base/instant.h"
#include "base/seeded_random.h"
#include "standins/platform_server.h"

#include <functional>

namespace briarpoint::soak {

/// Makes the store lose its history at random intervals. The phases are those of the users'
/// platform:
/// 1. watches report no events;
/// 2. connections are cut, and stale reads return old data;
/// 3. the history is discarded;
/// 4. stale reads return current data again.
class history_loss {
public:
  /// \p OnConnectionsCut ends the connections to the store and may kill forwarders. \p Store must
  /// outlive the object. \p Seed determines all random numbers.
  history_loss(standins::platform_server &Store, std::uint64_t Seed,
               std::function<void(random_source &)> OnConnectionsCut);

  /// Schedules the first loss.
  void start(instant Now);
  /// Enters the next phase if it is due. A new loss starts only if \p MayStart is true.
  void step(instant Now, bool MayStart);

  bool inProgress() const { return Phase != phase::Available; }

private:
  enum class phase : std::uint8_t { Available, EventsWithheld, ConnectionsCut, HistoryDiscarded };

  standins::platform_server &Store;
  seeded_random Random;
  std::function<void(random_source &)> OnConnectionsCut;
  phase Phase = phase::Available;
  instant NextPhaseAt{};
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_HISTORY_LOSS_H
