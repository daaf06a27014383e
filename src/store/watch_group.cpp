#include "store/watch_group.h"

#include "store/object_watcher.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

void watch_group::reportInterruption(const object_watcher &Reporter) const {
  for (object_watcher *Watcher : Watchers)
    if (Watcher != &Reporter)
      Watcher->invalidatePosition();
}

bool watch_group::claimRetry(object_watcher &Watcher) {
  if (RetryOwner == nullptr) {
    RetryOwner = &Watcher;
    FailedRetries = 0;
    return true;
  }
  const bool RetryFailed = RetryOwner == &Watcher;
  FailedRetries += RetryFailed ? 1 : 0;
  if (RetryFailed && WaitingForRetry.empty())
    return true;
  if (std::find(WaitingForRetry.begin(), WaitingForRetry.end(), &Watcher) == WaitingForRetry.end())
    WaitingForRetry.push_back(&Watcher);
  if (!RetryFailed)
    return false;
  object_watcher *Next = WaitingForRetry.front();
  WaitingForRetry.pop_front();
  RetryOwner = Next;
  Next->retryInTurn();
  return false;
}

void watch_group::releaseRetry(const object_watcher &Watcher) {
  if (RetryOwner != &Watcher)
    return;
  RetryOwner = nullptr;
  for (object_watcher *Waiting : std::exchange(WaitingForRetry, {}))
    Waiting->retryNow();
}

void watch_group::readRevision() {
  if (ReadInProgress)
    return;
  ReadInProgress = true;
  RevisionRequestedAt = Scheduler.now();
  Reader.read([this](std::optional<store_position> Position) { finishRead(Position); });
}

void watch_group::onEraRose(std::uint64_t, std::uint64_t) {
  for (object_watcher *Watcher : Watchers)
    Watcher->listAgain();
}

void watch_group::onRemoteRise(instant RoseAt) {
  for (object_watcher *Watcher : Watchers)
    Watcher->beginRecovery(RoseAt);
}

void watch_group::finishRead(std::optional<store_position> Position) {
  ReadInProgress = false;
  // A read that ended before the rise proves nothing for the new era.
  if (Position && Position->Era < Era.current())
    Position.reset();
  ReadFailed = !Position;
  if (Position) {
    StorePosition = *Position;
    RevisionReadAt = Scheduler.now();
  }
  const auto Jitter = static_cast<duration::rep>(
      Random.below(static_cast<std::uint64_t>(Interval.count() / 10 + 1)));
  Scheduler.runAt(Scheduler.now() + Interval - duration(Jitter), [this] { readRevision(); });
  for (object_watcher *Watcher : Watchers)
    Watcher->onRevisionRead(Position, RevisionRequestedAt);
}

} // namespace briarpoint
