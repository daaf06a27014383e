#include "core/sync/memory_object_store.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace briarpoint {

void memory_object_store::get(const std::string &Key, callback Done) {
  object_result Result{object_status::NotFound, 0, ""};
  if (const auto Found = Objects.find(Key); Found != Objects.end())
    Result = {object_status::Ok, Found->second.Version, Found->second.Value};
  queueCallback([Done = std::move(Done), Result = std::move(Result)] { Done(Result); });
}

void memory_object_store::put(const std::string &Key, object_version Expected,
                              const std::string &Value, callback Done) {
  if (Value.size() > MaxObjectSize)
    throw std::length_error("value of object " + Key + " has " + std::to_string(Value.size()) +
                            " bytes, more than the maximum of " + std::to_string(MaxObjectSize));
  const auto Found = Objects.find(Key);
  const object_version Current = Found == Objects.end() ? 0 : Found->second.Version;
  object_result Result{object_status::Conflict, Current, ""};
  if (Current == Expected) {
    Objects[Key] = {Current + 1, Value};
    Result = {object_status::Ok, Current + 1, ""};
  }
  queueCallback([Done = std::move(Done), Result = std::move(Result)] { Done(Result); });
  completeChangedWatches();
}

void memory_object_store::watch(const std::string &Key, object_version Known, callback Done) {
  Watches.push_back({Key, Known, std::move(Done), Never});
  if (Wake)
    Wake();
  completeChangedWatches();
}

void memory_object_store::listInstances(instances_callback Done) {
  queueCallback(
      [Done = std::move(Done), Entries = Instances] { Done(object_status::Ok, Entries); });
}

void memory_object_store::run(instant Now) {
  expireWatches(Now);
  const std::vector<std::function<void()>> Due = std::exchange(PendingCallbacks, {});
  for (const std::function<void()> &Answer : Due)
    Answer();
}

void memory_object_store::queueCallback(std::function<void()> Call) {
  PendingCallbacks.push_back(std::move(Call));
  if (Wake)
    Wake();
}

void memory_object_store::completeChangedWatches() {
  std::vector<waiting_watch> Waiting;
  for (waiting_watch &Watch : std::exchange(Watches, {})) {
    const auto Found = Objects.find(Watch.Key);
    if (Found == Objects.end() || Found->second.Version <= Watch.Known) {
      Waiting.push_back(std::move(Watch));
      continue;
    }
    queueCallback([Done = std::move(Watch.Done),
                   Result = object_result{object_status::Ok, Found->second.Version,
                                          Found->second.Value}] { Done(Result); });
  }
  Watches = std::move(Waiting);
}

void memory_object_store::expireWatches(instant Now) {
  for (waiting_watch &Watch : Watches) {
    if (Watch.Deadline == Never)
      Watch.Deadline = Now + WatchTimeout;
    else if (Watch.Deadline <= Now)
      queueCallback([Done = std::move(Watch.Done), Known = Watch.Known] {
        Done({object_status::Unchanged, Known, ""});
      });
  }
  std::erase_if(Watches, [Now](const waiting_watch &Watch) { return Watch.Deadline <= Now; });
}

} // namespace briarpoint
