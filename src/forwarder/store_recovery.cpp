#include "forwarder/store_recovery.h"

namespace briarpoint {

store_recovery::store_recovery(duration Duration, store_era &Era, time_source &Clock,
                               event_log &Log)
    : Duration(Duration), Era(Era), Clock(Clock), Log(Log) {
  Era.join(*this);
}

void store_recovery::onEraRose(std::uint64_t Previous, std::uint64_t Current) {
  EndsAt = Clock.now() + Duration;
  Log.write(log_event::StoreEraChanged,
            {{"previous", std::to_string(Previous)}, {"era", std::to_string(Current)}});
}

void store_recovery::onRemoteRise(instant RoseAt) {
  const instant Now = Clock.now();
  if (Now >= RoseAt + Duration)
    return;
  EndsAt = RoseAt + Duration;
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - RoseAt);
  Log.write(log_event::StoreRiseReported,
            {{"era", std::to_string(Era.current())}, {"age_ms", std::to_string(Age.count())}});
}

bool store_recovery::endIfDue() {
  if (EndsAt == Never || Clock.now() < EndsAt)
    return false;
  EndsAt = Never;
  Log.write(log_event::StoreRecoveryEnded, {{"era", std::to_string(Era.current())}});
  return true;
}

} // namespace briarpoint
