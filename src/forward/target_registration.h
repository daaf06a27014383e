#ifndef BRIARPOINT_FORWARD_TARGET_REGISTRATION_H
#define BRIARPOINT_FORWARD_TARGET_REGISTRATION_H

#include "net/ipv4_endpoint.h"
#include "store/store_position.h"

#include <compare>
#include <cstdint>
#include <string>

namespace briarpoint {

/// A target's own entry in the store.
struct target_registration {
  std::string Name;
  /// The target's identity as a number. Packets to the target carry it, so that another host that
  /// has taken over the address ignores them.
  std::uint64_t Number = 0;
  std::string Service;
  ipv4_endpoint Address;
  std::string DataCentre;
  /// Number of requests that the target serves concurrently.
  std::uint32_t Slots = 1;
  /// The target is shutting down: it keeps its flows and must get no new ones.
  bool Draining = false;
  /// Remaining warm-up time when the target wrote the entry.
  std::uint32_t WarmUpMs = 0;
  /// Start of the target's process in Unix milliseconds. A target that restarts under the same name
  /// has a different start time and none of its earlier flows.
  std::uint64_t StartedMs = 0;
  /// Revision of the store at which the entry was last changed.
  std::uint64_t Revision = 0;
  /// Era of the store in which the entry was read.
  std::uint64_t Era = 0;

  store_position position() const { return {Era, Revision}; }

  auto operator<=>(const target_registration &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_REGISTRATION_H
