#ifndef BRIARPOINT_FORWARDER_ROUTE_LISTENER_H
#define BRIARPOINT_FORWARDER_ROUTE_LISTENER_H

#include "forward/object_format.h"
#include "forward/route_table.h"
#include "forward/target_registry.h"
#include "forwarder/forwarder_counters.h"
#include "io/time_source.h"
#include "log/event_log.h"
#include "store/object_listener.h"

#include <functional>
#include <optional>

namespace briarpoint {

/// Applies the operators' configuration in the store to the routes. If it is missing or can't be
/// parsed, the configuration in force stays. A route that can't be parsed doesn't affect the
/// others. Versions never go back, also if the store came back from an older copy; the version in
/// force is replaced only by one with the same number that operators wrote differently afterwards.
class route_listener final : public object_listener {
public:
  /// Everything that is referred to must outlive the object. \p Targets gets the services that the
  /// routes name. \p OnList is called after each list.
  route_listener(const object_format &Format, route_table &Routes, target_registry &Targets,
                 time_source &Clock, event_log &Log, forwarder_counters &Counters,
                 std::function<void()> OnList);

  void onList(const std::vector<stored_object> &Objects, const store_position &Position) override;
  void onChanges(const std::vector<object_change> &Changes,
                 const store_position &Position) override;
  void onContactChanged(bool InContact, call_outcome Outcome) override;
  void onEraRose(instant RecoveryEndsAt) override;

private:
  void apply(const stored_object &Object, std::uint64_t Era);
  /// Whether the store has the version in force; otherwise it has \p StoreVersion.
  void setInStore(bool IsInStore, std::uint64_t StoreVersion);
  void logRefusedParts(const routing_configuration &Configuration);

  const object_format &Format;
  route_table &Routes;
  target_registry &Targets;
  time_source &Clock;
  event_log &Log;
  forwarder_counters &Counters;
  std::function<void()> OnList;
  /// The configuration that was applied last, and the highest era in which the store had it.
  std::optional<routing_configuration> InForce;
  std::uint64_t InForceEra = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_ROUTE_LISTENER_H
