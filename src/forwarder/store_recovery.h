#ifndef BRIARPOINT_FORWARDER_STORE_RECOVERY_H
#define BRIARPOINT_FORWARDER_STORE_RECOVERY_H

#include "io/time_source.h"
#include "log/event_log.h"
#include "store/store_era.h"

namespace briarpoint {

/// Logs the return of the store from an older copy and the end of the recovery time. The rules of
/// the recovery time are those of the watchers and their listeners.
class store_recovery final : private era_listener {
public:
  /// \p Duration is the longest recovery time of all kinds of objects. The references must outlive
  /// the object.
  store_recovery(duration Duration, store_era &Era, time_source &Clock, event_log &Log);

  /// Call it at an interval. Returns true once after the end of each recovery time.
  bool endIfDue();
  bool inProgress() const { return EndsAt != Never; }

private:
  void onEraRose(std::uint64_t Previous, std::uint64_t Era) override;
  void onRemoteRise(instant RoseAt) override;

  duration Duration;
  store_era &Era;
  time_source &Clock;
  event_log &Log;
  /// Never unless a recovery time is in progress.
  instant EndsAt = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_STORE_RECOVERY_H
