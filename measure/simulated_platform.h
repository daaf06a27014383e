#ifndef BRIARPOINT_MEASURE_SIMULATED_PLATFORM_H
#define BRIARPOINT_MEASURE_SIMULATED_PLATFORM_H

#include "core/sync/object_store.h"
#include "measure/event_queue.h"

#include <map>
#include <memory>

namespace briarpoint::measure {

/// In-memory object API of the platform with injected faults. Clients use it through
/// platform_client.
struct simulated_platform {
  struct object {
    object_version Version = 0;
    std::string Value;
  };
  struct watcher {
    std::string Key;
    object_version KnownVersion = 0;
    object_store::callback Done;
  };

  std::map<std::string, object> Objects;
  std::multimap<std::uint64_t, watcher> Watchers;
  std::vector<instance_entry> Instances;
  bool Down = false;
  /// Number of further successful puts whose answers are lost.
  std::uint32_t PutAnswersToLose = 0;
  /// Older copy of the objects that readers get instead of Objects; unused if empty.
  std::map<std::string, object> StaleObjects;
  std::uint64_t Calls = 0;

  object_result read(const std::string &Key) const;
  /// Writes if the version is \p Expected, and calls the watchers of the key.
  object_result write(const std::string &Key, object_version Expected, const std::string &Value);
};

/// Connection of one balancer to the platform.
class platform_client final : public object_store {
public:
  /// \p Connected returns whether the balancer reaches the platform. \p CountSentBytes is called
  /// with the size of each request. Both and the references must outlive pending calls.
  platform_client(simulated_platform &Platform, event_queue &Queue, const instant &Now,
                  std::function<bool()> Connected, std::function<void(std::size_t)> CountSentBytes)
      : Platform(Platform), Queue(Queue), Now(Now), Connected(std::move(Connected)),
        CountSentBytes(std::move(CountSentBytes)), Alive(std::make_shared<bool>(true)) {}
  ~platform_client() override { *Alive = false; }

  void get(const std::string &Key, callback Done) override;
  void put(const std::string &Key, object_version Expected, const std::string &Value,
           callback Done) override;
  void watch(const std::string &Key, object_version KnownVersion, callback Done) override;
  void listInstances(instances_callback Done) override;

private:
  /// Runs \p Call at the platform and passes its result to \p Done, with the latency of the
  /// network. The result is Unavailable if the platform is down or unreachable, and Unknown if the
  /// answer is lost, each after CallTimeout.
  void request(std::size_t Bytes, std::function<object_result()> Call, callback Done);
  void scheduleAnswer(object_result Result, const callback &Done, duration Delay);

  simulated_platform &Platform;
  event_queue &Queue;
  const instant &Now;
  std::function<bool()> Connected;
  std::function<void(std::size_t)> CountSentBytes;
  std::shared_ptr<bool> Alive;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_SIMULATED_PLATFORM_H
