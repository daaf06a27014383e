#include "core/sync/store_client.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

namespace {

constexpr duration InitialBackoff = std::chrono::milliseconds(200);
constexpr std::uint32_t MaxBackoffDoublings = 6;

bool failed(const object_result &Result) {
  return Result.Status == object_status::Unavailable || Result.Status == object_status::Unknown;
}

} // namespace

store_client::store_client(object_store &Store, random_source &Random)
    : Store(Store), Random(Random) {}

void store_client::tick(instant Time) {
  Now = Time;
  std::vector<timer> Due;
  const auto Later = std::stable_partition(Timers.begin(), Timers.end(),
                                           [&](const timer &Timer) { return Timer.At <= Now; });
  std::move(Timers.begin(), Later, std::back_inserter(Due));
  Timers.erase(Timers.begin(), Later);
  for (const timer &Timer : Due)
    Timer.Action();
}

store_client::callback store_client::guard(callback Done) {
  return [Weak = std::weak_ptr<bool>(Alive), Done = std::move(Done)](const object_result &Result) {
    if (!Weak.expired())
      Done(Result);
  };
}

void store_client::retryLater(std::uint32_t Attempt, std::function<void()> Action) {
  const duration MaxDelay = InitialBackoff * (1U << std::min(Attempt, MaxBackoffDoublings));
  const auto Jitter = Random.below(static_cast<std::uint64_t>(MaxDelay.count()));
  Timers.push_back({Now + duration(static_cast<duration::rep>(Jitter)), std::move(Action)});
}

void store_client::get(const std::string &Key, callback Done, std::uint32_t Attempts) {
  Store.get(Key, guard([this, Key, Done = std::move(Done), Attempts](const object_result &Result) {
              if (!failed(Result) || Attempts <= 1) {
                Done(Result);
                return;
              }
              retryLater(DefaultAttempts - std::min(Attempts, DefaultAttempts),
                         [this, Key, Done, Attempts] { get(Key, Done, Attempts - 1); });
            }));
}

void store_client::putImmutable(const std::string &Key, const std::string &Value, callback Done,
                                std::uint32_t Attempts) {
  Store.put(
      Key, 0, Value,
      guard([this, Key, Value, Done = std::move(Done), Attempts](const object_result &Result) {
        if (Result.Status == object_status::Conflict) {
          Done({object_status::Ok, Result.Version, {}});
          return;
        }
        if (!failed(Result) || Attempts <= 1) {
          Done(Result);
          return;
        }
        retryLater(
            DefaultAttempts - std::min(Attempts, DefaultAttempts),
            [this, Key, Value, Done, Attempts] { putImmutable(Key, Value, Done, Attempts - 1); });
      }));
}

void store_client::put(const std::string &Key, object_version Expected, const std::string &Value,
                       callback Done) {
  Store.put(Key, Expected, Value, guard(std::move(Done)));
}

void store_client::watch(const std::string &Key, object_version Known, callback Done) {
  Store.watch(Key, Known, guard(std::move(Done)));
}

void store_client::listInstances(object_store::instances_callback Done) {
  Store.listInstances([Weak = std::weak_ptr<bool>(Alive), Done = std::move(Done)](
                          object_status Status, const std::vector<instance_entry> &Instances) {
    if (!Weak.expired())
      Done(Status, Instances);
  });
}

} // namespace briarpoint
