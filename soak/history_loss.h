#ifndef BRIARPOINT_SOAK_HISTORY_LOSS_H
#define BRIARPOINT_SOAK_HISTORY_LOSS_H

#include "base/instant.h"
#include "base/seeded_random.h"
#include "standins/platform_server.h"

#include <functional>

namespace briarpoint::soak {

/// Has the store lose its history now and then, in the phases in which the users' platform does:
/// watches report nothing; they are cut, and stale reads fall behind; the history is gone; stale
/// reads have caught up.
class history_loss {
public:
  /// \p OnCut ends the connections to the store, and may kill nodes. \p Store must outlive the
  /// object; the random numbers follow from \p Seed.
  history_loss(standins::platform_server &Store, std::uint64_t Seed,
               std::function<void(random_source &)> OnCut);

  /// Begins the first pause.
  void start(instant Now);
  /// Enters the next phase if it is due. A loss begins only if \p MayBegin is set.
  void step(instant Now, bool MayBegin);

  bool inProgress() const { return Phase != phase::Kept; }

private:
  enum class phase : std::uint8_t { Kept, Muted, Cut, Dropped };

  standins::platform_server &Store;
  seeded_random Random;
  std::function<void(random_source &)> OnCut;
  phase Phase = phase::Kept;
  instant NextPhase{};
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_HISTORY_LOSS_H
