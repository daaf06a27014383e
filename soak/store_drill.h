#ifndef BRIARPOINT_SOAK_STORE_DRILL_H
#define BRIARPOINT_SOAK_STORE_DRILL_H

#include "base/instant.h"
#include "base/seeded_random.h"
#include "standins/platform_server.h"

#include <functional>

namespace briarpoint::soak {

/// Makes the store come back from an older copy at random intervals, as on the users' platform:
/// 1. a copy is kept, and something is written that it lacks;
/// 2. some seconds later, the store is unavailable for a moment;
/// 3. it comes back from the copy with an era higher by one, and connections are cut;
/// 4. hosts and the operator write again what they had written since the copy, at random times
///    within two seconds.
class store_drill {
public:
  struct actions {
    /// Writes what the copy lacks.
    std::function<void(random_source &)> WriteAfterCopy;
    /// The store becomes unavailable now.
    std::function<void()> OnAway;
    /// Ends the connections to the store.
    std::function<void()> CutConnections;
    /// Writes again the part \p Index of what was written since the copy.
    std::function<void(std::size_t)> WriteAgain;
  };

  /// \p Parts is the number of parts that are written again, each at a time of its own. \p Store
  /// must outlive the object. \p Seed determines all random numbers.
  store_drill(standins::platform_server &Store, std::uint64_t Seed, std::size_t Parts,
              actions Actions);

  /// Schedules the first copy.
  void start(instant Now);
  /// Enters the next phase if it is due. \p MayKeepCopy permits phase 1, \p MayStart phase 2.
  void step(instant Now, bool MayKeepCopy, bool MayStart);

  /// The store may have no other faults now. That holds for half of the drills, from the copy until
  /// the return, so that it is certain which forwarders know what was lost.
  bool excludesStoreFaults() const {
    return Quiet && (Phase == phase::CopyKept || Phase == phase::Unavailable);
  }
  /// From the moment when the store becomes unavailable until everything was written again.
  bool inProgress() const { return Phase == phase::Unavailable || Phase == phase::WritingAgain; }
  /// When the last drill began; Never before the first one.
  instant beganAt() const { return BeganAt; }
  /// When the store came back last; Never before that, and while it is unavailable.
  instant returnedAt() const { return ReturnedAt; }
  std::size_t count() const { return Count; }

private:
  enum class phase : std::uint8_t { Idle, CopyKept, Unavailable, WritingAgain };

  standins::platform_server &Store;
  seeded_random Random;
  std::size_t Parts;
  actions Actions;
  phase Phase = phase::Idle;
  instant NextPhaseAt = Never;
  instant BeganAt = Never;
  instant ReturnedAt = Never;
  /// When each part is written again; Never once it was.
  std::vector<instant> WrittenAgainAt;
  std::size_t Count = 0;
  bool Quiet = false;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_STORE_DRILL_H
