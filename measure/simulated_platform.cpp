#include "measure/simulated_platform.h"

namespace briarpoint::measure {

namespace {

constexpr duration Latency = std::chrono::milliseconds(2);
constexpr duration CallTimeout = std::chrono::seconds(2);
constexpr duration WatchTimeout = std::chrono::seconds(20);
/// Bytes of the headers of an HTTP request and of its TCP segments.
constexpr std::size_t RequestBytes = 300;

} // namespace

object_result simulated_platform::read(const std::string &Key) const {
  const auto &VisibleObjects = StaleObjects.empty() ? Objects : StaleObjects;
  const auto Found = VisibleObjects.find(Key);
  if (Found == VisibleObjects.end())
    return {object_status::NotFound, 0, {}};
  return {object_status::Ok, Found->second.Version, Found->second.Value};
}

object_result simulated_platform::write(const std::string &Key, object_version Expected,
                                        const std::string &Value) {
  object &Object = Objects[Key];
  if (Object.Version != Expected)
    return {object_status::Conflict, Object.Version, {}};
  ++Object.Version;
  Object.Value = Value;
  // Each watcher is called once and then removed.
  std::vector<object_store::callback> DueCallbacks;
  for (auto I = Watchers.begin(); I != Watchers.end();) {
    if (I->second.Key != Key || I->second.KnownVersion >= Object.Version) {
      ++I;
      continue;
    }
    DueCallbacks.push_back(std::move(I->second.Done));
    I = Watchers.erase(I);
  }
  const object_result Changed{object_status::Ok, Object.Version, Value};
  for (const object_store::callback &Done : DueCallbacks)
    Done(Changed);
  return {object_status::Ok, Object.Version, {}};
}

void platform_client::scheduleAnswer(object_result Result, const callback &Done, duration Delay) {
  Queue.scheduleCall(Now + Delay, [Result = std::move(Result), Done, Alive = Alive] {
    if (*Alive)
      Done(Result);
  });
}

void platform_client::request(std::size_t Bytes, std::function<object_result()> Call,
                              callback Done) {
  ++Platform.Calls;
  CountSentBytes(Bytes);
  if (Platform.Down || !Connected()) {
    scheduleAnswer({object_status::Unavailable, 0, {}}, Done, CallTimeout);
    return;
  }
  Queue.scheduleCall(Now + Latency,
                     [this, Call = std::move(Call), Done = std::move(Done), Alive = Alive] {
                       object_result Result = Call();
                       if (!*Alive)
                         return;
                       if (Result.Status == object_status::Unknown)
                         scheduleAnswer(std::move(Result), Done, CallTimeout);
                       else
                         scheduleAnswer(std::move(Result), Done, Latency);
                     });
}

void platform_client::get(const std::string &Key, callback Done) {
  request(
      RequestBytes, [&P = Platform, Key] { return P.read(Key); }, std::move(Done));
}

void platform_client::put(const std::string &Key, object_version Expected, const std::string &Value,
                          callback Done) {
  const auto Call = [&P = Platform, Key, Expected, Value] {
    object_result Result = P.write(Key, Expected, Value);
    if (Result.Status == object_status::Ok && P.PutAnswersToLose > 0) {
      --P.PutAnswersToLose;
      return object_result{object_status::Unknown, 0, {}};
    }
    return Result;
  };
  request(RequestBytes + Value.size(), Call, std::move(Done));
}

void platform_client::watch(const std::string &Key, object_version KnownVersion, callback Done) {
  ++Platform.Calls;
  CountSentBytes(RequestBytes);
  if (Platform.Down || !Connected()) {
    scheduleAnswer({object_status::Unavailable, 0, {}}, Done, CallTimeout);
    return;
  }
  const object_result Present = Platform.read(Key);
  if (Present.Version > KnownVersion) {
    scheduleAnswer(Present, Done, 2 * Latency);
    return;
  }
  // The watch ends at a change or after WatchTimeout. After the timeout it reports Unavailable if
  // the platform is down.
  const std::uint64_t Id = Platform.Calls;
  const auto Change = [this, Done, Alive = Alive](const object_result &Result) {
    if (*Alive)
      scheduleAnswer(Result, Done, Latency);
  };
  Platform.Watchers.emplace(Id, simulated_platform::watcher{Key, KnownVersion, Change});
  Queue.scheduleCall(Now + WatchTimeout, [&P = Platform, Id, KnownVersion] {
    const auto Found = P.Watchers.find(Id);
    if (Found == P.Watchers.end())
      return;
    const object_store::callback Expired = std::move(Found->second.Done);
    P.Watchers.erase(Found);
    const auto Status = P.Down ? object_status::Unavailable : object_status::Unchanged;
    Expired({Status, KnownVersion, {}});
  });
}

void platform_client::listInstances(instances_callback Done) {
  const auto Listed = [&P = Platform, Done](const object_result &Result) {
    Done(Result.Status,
         Result.Status == object_status::Ok ? P.Instances : std::vector<instance_entry>{});
  };
  request(
      RequestBytes,
      [] {
        return object_result{object_status::Ok, 0, {}};
      },
      Listed);
}

} // namespace briarpoint::measure
