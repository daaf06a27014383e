#ifndef BRIARPOINT_CORE_SYNC_MEMORY_OBJECT_STORE_H
#define BRIARPOINT_CORE_SYNC_MEMORY_OBJECT_STORE_H

#include "base/instant.h"
#include "core/sync/object_store.h"

#include <map>
#include <vector>

namespace briarpoint {

/// In-process object store, for use without a platform and for tests. Deterministic: run() calls
/// the callbacks in the order of the calls.
class memory_object_store final : public object_store {
public:
  /// \p WatchTimeout is the time limit of a watch. \p Wake is called when run() has work, also from
  /// within run(); it must not call the store.
  explicit memory_object_store(duration WatchTimeout = std::chrono::seconds(30),
                               std::function<void()> Wake = {})
      : WatchTimeout(WatchTimeout), Wake(std::move(Wake)) {}

  void get(const std::string &Key, callback Done) override;
  /// \throws std::length_error if the value exceeds MaxObjectSize.
  void put(const std::string &Key, object_version Expected, const std::string &Value,
           callback Done) override;
  void watch(const std::string &Key, object_version Known, callback Done) override;
  void listInstances(instances_callback Done) override;

  /// Sets what listInstances() returns.
  void setInstances(std::vector<instance_entry> Entries) { Instances = std::move(Entries); }

  /// Runs the callbacks of earlier calls and ends the watches that reached their time limit. A
  /// callback may make further calls; their callbacks run in the next run(). Must be called after
  /// \p Wake, and regularly for the time limits.
  void run(instant Now);

private:
  struct object {
    object_version Version = 0;
    std::string Value;
  };
  struct waiting_watch {
    std::string Key;
    object_version Known = 0;
    callback Done;
    /// Set by the first run() after the call.
    instant Deadline = Never;
  };

  void queueCallback(std::function<void()> Call);
  void completeChangedWatches();
  void expireWatches(instant Now);

  duration WatchTimeout;
  std::function<void()> Wake;
  std::map<std::string, object> Objects;
  std::vector<instance_entry> Instances;
  std::vector<std::function<void()>> PendingCallbacks;
  std::vector<waiting_watch> Watches;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_MEMORY_OBJECT_STORE_H
