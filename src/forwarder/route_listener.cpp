#include "forwarder/route_listener.h"

#include "base/findings_error.h"
#include "forwarder/forwarder_log.h"

namespace briarpoint {

route_listener::route_listener(const object_format &Format, route_table &Routes,
                               target_registry &Targets, time_source &Clock, event_log &Log,
                               forwarder_counters &Counters, std::function<void()> OnList)
    : Format(Format), Routes(Routes), Targets(Targets), Clock(Clock), Log(Log), Counters(Counters),
      OnList(std::move(OnList)) {}

void route_listener::apply(const stored_object &Object, std::uint64_t Era) {
  // An object whose name can't be read may be the configuration.
  const bool Unnamed = Object.Name.empty() && !Object.Defect.empty();
  if (!Unnamed && Object.Name != Format.configurationName())
    return;
  try {
    const routing_configuration Configuration = Format.parseConfiguration(Object);
    const std::uint64_t Previous = Routes.version();
    const bool Rose = InForce && Era > InForceEra;
    const bool Same = InForce == Configuration;
    if (Same)
      InForceEra = Era;
    if (Same || !Routes.apply(Configuration, Rose)) {
      if (Same || Rose)
        setInStore(Same, Configuration.Version);
      return;
    }
    Targets.setNamedServices(Routes.services());
    InForce = Configuration;
    InForceEra = Era;
    logRefusedParts(Configuration);
    Log.write(log_event::RoutesApplied,
              {{"version", std::to_string(Configuration.Version)},
               {"previous", std::to_string(Previous)},
               {"routes", std::to_string(Configuration.Routes.size())},
               {"refused", std::to_string(Configuration.RefusedRoutes.size())},
               {"revision", std::to_string(Object.Revision)}});
  } catch (const findings_error &Error) {
    ++Counters.RefusedConfigurations;
    Routes.onVersionRefused();
    Log.write(log_event::RoutesRefused, {{"finding", toString(Error.findings().front())},
                                         {"findings", std::to_string(Error.findings().size())},
                                         {"revision", std::to_string(Object.Revision)}});
  }
}

void route_listener::setInStore(bool IsInStore, std::uint64_t StoreVersion) {
  if (IsInStore == Routes.isInStore())
    return;
  Routes.setInStore(IsInStore);
  if (!IsInStore)
    Log.write(log_event::RoutesNotInStore, {{"version", std::to_string(Routes.version())},
                                            {"store_version", std::to_string(StoreVersion)}});
}

void route_listener::logRefusedParts(const routing_configuration &Configuration) {
  const std::string Version = std::to_string(Configuration.Version);
  for (const refused_route &Refused : Configuration.RefusedRoutes) {
    ++Counters.RefusedRoutes;
    if (Refused.Finding.empty())
      continue;
    Log.write(log_event::RouteRefused,
              {{"route", Refused.Name}, {"finding", Refused.Finding}, {"version", Version}});
  }
  for (const refused_service &Refused : Configuration.RefusedServices) {
    ++Counters.RefusedServices;
    if (Refused.Finding.empty())
      continue;
    Log.write(log_event::ServiceRefused,
              {{"service", Refused.Name}, {"finding", Refused.Finding}, {"version", Version}});
  }
  if (!Configuration.RefusedLimits.empty()) {
    ++Counters.RefusedLimits;
    Log.write(log_event::LimitsRefused,
              {{"finding", Configuration.RefusedLimits}, {"version", Version}});
  }
}

void route_listener::onList(const std::vector<stored_object> &Objects,
                            const store_position &Position) {
  // Versions between the last reported change and this list may have been missed.
  Routes.onVersionsMissed(Clock.now());
  for (const stored_object &Object : Objects)
    apply(Object, Position.Era);
  OnList();
}

void route_listener::onChanges(const std::vector<object_change> &Changes,
                               const store_position &Position) {
  for (const object_change &Change : Changes)
    if (!Change.Deleted)
      apply(Change.Object, Position.Era);
}

void route_listener::onEraRose(instant) {}

void route_listener::onContactChanged(bool InContact, call_outcome Outcome) {
  logContactChange(Log, Format.configurationKind(), InContact, Outcome);
}

} // namespace briarpoint
