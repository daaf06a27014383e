#ifndef BRIARPOINT_FORWARDER_ROUTE_LISTENER_H
#define BRIARPOINT_FORWARDER_ROUTE_LISTENER_H

#include "forward/object_format.h"
#include "forward/route_table.h"
#include "forwarder/forwarder_counters.h"
#include "io/time_source.h"
#include "log/event_log.h"
#include "store/object_listener.h"

#include <functional>

namespace briarpoint {

/// Applies the operators' configuration in the store to the routes. If it is missing or can't be
/// parsed, the configuration in force stays. A route that can't be parsed doesn't affect the
/// others.
class route_listener final : public object_listener {
public:
  /// Everything that is referred to must outlive the object. \p OnList is called after each list.
  route_listener(const object_format &Format, route_table &Routes, time_source &Clock,
                 event_log &Log, forwarder_counters &Counters, std::function<void()> OnList);

  void onList(const std::vector<stored_object> &Objects, std::uint64_t Revision) override;
  void onChanges(const std::vector<object_change> &Changes, std::uint64_t Revision) override;
  void onContactChanged(bool InContact, call_outcome Outcome) override;

private:
  void apply(const stored_object &Object);
  void logRefusedParts(const routing_configuration &Configuration);

  const object_format &Format;
  route_table &Routes;
  time_source &Clock;
  event_log &Log;
  forwarder_counters &Counters;
  std::function<void()> OnList;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_ROUTE_LISTENER_H
