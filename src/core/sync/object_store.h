#ifndef BRIARPOINT_CORE_SYNC_OBJECT_STORE_H
#define BRIARPOINT_CORE_SYNC_OBJECT_STORE_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace briarpoint {

/// Version of an object; 0 means that it doesn't exist. Each successful put increases it.
using object_version = std::uint64_t;

/// Outcome of a call to the platform.
enum class object_status : std::uint8_t {
  Ok,
  /// get: the object doesn't exist.
  NotFound,
  /// put: the object's version isn't the expected one. Nothing was written.
  Conflict,
  /// watch: nothing changed until the time limit.
  Unchanged,
  /// The call was refused before it had an effect (connection refused, rate limit exceeded).
  Unavailable,
  /// No answer: the call may have taken effect.
  Unknown,
};

/// Result of a call.
struct object_result {
  object_status Status = object_status::Unknown;
  object_version Version = 0;
  std::string Value;

  auto operator<=>(const object_result &) const = default;
};

/// An entry of the platform's list of instances. The list is updated with a delay.
struct instance_entry {
  std::string Name;
  /// Address of the instance's control socket, as "address:port".
  std::string Control;
  bool Leaving = false;

  auto operator<=>(const instance_entry &) const = default;
};

/// The platform's object API. Calls return at once. The task that owns the store runs the callback
/// later, exactly once unless the store is destroyed before. Values have at most 1 MB.
class object_store {
public:
  using callback = std::function<void(const object_result &)>;
  using instances_callback =
      std::function<void(object_status, const std::vector<instance_entry> &)>;

  virtual ~object_store() = default;

  virtual void get(const std::string &Key, callback Done) = 0;

  /// Writes an object if its version is \p Expected (0: if it doesn't exist).
  virtual void put(const std::string &Key, object_version Expected, const std::string &Value,
                   callback Done) = 0;

  /// Waits until the object's version is above \p Known, or until the platform's time limit
  /// (Unchanged).
  virtual void watch(const std::string &Key, object_version Known, callback Done) = 0;

  /// Reads the list of live and leaving instances.
  virtual void listInstances(instances_callback Done) = 0;
};

/// Largest value of an object in bytes.
inline constexpr std::size_t MaxObjectSize = 1'000'000;

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_OBJECT_STORE_H
