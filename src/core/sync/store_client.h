#ifndef BRIARPOINT_CORE_SYNC_STORE_CLIENT_H
#define BRIARPOINT_CORE_SYNC_STORE_CLIENT_H

#include "base/instant.h"
#include "base/random_source.h"
#include "core/sync/object_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarpoint {

/// Calls the platform with retries. Callbacks that arrive after the client was destroyed are
/// dropped.
class store_client {
public:
  using callback = object_store::callback;

  /// \p Store and \p Random must outlive the object.
  store_client(object_store &Store, random_source &Random);

  /// Runs retries that are due.
  void tick(instant Now);

  /// Reads an object, in up to \p Attempts attempts while the platform doesn't answer.
  void get(const std::string &Key, callback Done, std::uint32_t Attempts = DefaultAttempts);

  /// Writes an object whose key is derived from its content. The result is Ok also if the object
  /// exists already.
  void putImmutable(const std::string &Key, const std::string &Value, callback Done,
                    std::uint32_t Attempts = DefaultAttempts);

  /// Call the platform once, without retries.
  void put(const std::string &Key, object_version Expected, const std::string &Value,
           callback Done);
  void watch(const std::string &Key, object_version Known, callback Done);
  void listInstances(object_store::instances_callback Done);

  /// Calls \p Action after a backoff that doubles with \p Attempt, with full jitter.
  void retryLater(std::uint32_t Attempt, std::function<void()> Action);

  instant now() const { return Now; }

  static constexpr std::uint32_t DefaultAttempts = 4;

private:
  struct timer {
    instant At;
    std::function<void()> Action;
  };

  callback guard(callback Done);

  object_store &Store;
  random_source &Random;
  instant Now{};
  std::vector<timer> Timers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_STORE_CLIENT_H
