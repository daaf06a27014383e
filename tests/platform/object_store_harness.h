#ifndef BRIARPOINT_TESTS_PLATFORM_OBJECT_STORE_HARNESS_H
#define BRIARPOINT_TESTS_PLATFORM_OBJECT_STORE_HARNESS_H

#include "core/sync/object_store.h"

#include <functional>
#include <memory>
#include <optional>

namespace briarpoint::test {

/// Interface through which the contract tests drive an implementation of object_store.
class object_store_harness {
public:
  virtual ~object_store_harness() = default;

  virtual object_store &store() = 0;
  /// Runs the store's callbacks that are due, or waits for the next one.
  virtual void step() = 0;
  /// Makes all waiting watches reach their timeout.
  virtual void endWatches() = 0;
  virtual void setInstances(const std::vector<instance_entry> &Entries) = 0;
  /// Destroys the store with its calls under way.
  virtual void destroyStore() = 0;

  /// Make a call, wait for its answer and return it.
  object_result get(const std::string &Key);
  object_result put(const std::string &Key, object_version Expected, const std::string &Value);
  std::pair<object_status, std::vector<instance_entry>> listInstances();

  /// Steps until \p Result has a value; fails the test if it has none after the maximum number of
  /// steps.
  void await(const std::optional<object_result> &Result);
};

using harness_factory = std::unique_ptr<object_store_harness> (*)();

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_PLATFORM_OBJECT_STORE_HARNESS_H
