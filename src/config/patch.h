#ifndef BRIARPOINT_CONFIG_PATCH_H
#define BRIARPOINT_CONFIG_PATCH_H

#include "config/configuration.h"

#include <string>
#include <variant>

namespace briarpoint {

/// Adds a service, or replaces the one with the same name.
struct put_service {
  service_config Service;
  auto operator<=>(const put_service &) const = default;
};

/// Removes a service and its targets.
struct remove_service {
  std::string Service;
  auto operator<=>(const remove_service &) const = default;
};

/// Adds a target to a service, or replaces the one with the same name.
struct put_target {
  std::string Service;
  target_config Target;
  auto operator<=>(const put_target &) const = default;
};

/// Removes a target. Its open flows end.
struct remove_target {
  std::string Service;
  std::string Target;
  auto operator<=>(const remove_target &) const = default;
};

/// Drains a target, or ends the drain.
struct set_target_intent {
  std::string Service;
  std::string Target;
  target_intent Intent = target_intent::Active;
  auto operator<=>(const set_target_intent &) const = default;
};

using patch_operation =
    std::variant<put_service, remove_service, put_target, remove_target, set_target_intent>;

/// A change of the configuration that an operator submits, based on a version.
struct patch {
  /// Unique, chosen by the client: 1 to 64 characters of [A-Za-z0-9._-]. Patches with the same id
  /// are repetitions of one patch.
  std::string Id;
  /// Version that the patch changes.
  config_version Base = 0;
  /// Applied in order.
  std::vector<patch_operation> Operations;

  auto operator<=>(const patch &) const = default;
};

/// Returns \p Base with the operations applied and the version raised by one.
/// \throws findings_error with all findings if the base of the patch is another version, an
/// operation names a service or target that doesn't exist, or the result isn't valid.
configuration applyPatch(const configuration &Base, const patch &Patch);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_PATCH_H
