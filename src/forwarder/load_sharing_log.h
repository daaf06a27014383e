#ifndef BRIARPOINT_FORWARDER_LOAD_SHARING_LOG_H
#define BRIARPOINT_FORWARDER_LOAD_SHARING_LOG_H

#include "forward/load_exchange.h"
#include "forward/pooled_load.h"
#include "forward/target_registry.h"
#include "log/event_log.h"

#include <map>
#include <string>

namespace briarpoint {

/// Logs when balancers begin and stop sharing their load, and which part of the new flows of each
/// service leaves the own data centre.
class load_sharing_log {
public:
  /// A change of the probability by less than this isn't logged, unless it begins or ends.
  static constexpr double MinChange = 0.1;

  /// All must outlive the object.
  load_sharing_log(event_log &Log, const target_registry &Targets, const load_exchange &Exchange,
                   const pooled_load &Pooled)
      : Log(Log), Targets(Targets), Exchange(Exchange), Pooled(Pooled) {}

  /// Call it after each load_exchange::update().
  void update(instant Now);

private:
  event_log &Log;
  const target_registry &Targets;
  const load_exchange &Exchange;
  const pooled_load &Pooled;
  bool Active = false;
  /// Probabilities above 0 that were logged last, by service.
  std::map<std::string, double> Spills;
};

/// Calls \p Visit with the name and targets of each service.
template <typename T> void forEachService(const target_registry &Targets, T &&Visit) {
  std::map<std::string, bool> Visited;
  Targets.forEach([&](const target &Target) {
    const std::string &Service = Target.Registration.Service;
    if (Visited.emplace(Service, true).second)
      Visit(Service, Targets.findByService(Service));
  });
}

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_LOAD_SHARING_LOG_H
