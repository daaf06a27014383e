#ifndef BRIARPOINT_FORWARDER_REGISTRATION_LISTENER_H
#define BRIARPOINT_FORWARDER_REGISTRATION_LISTENER_H

#include "forward/object_format.h"
#include "forward/packet_forwarder.h"
#include "forward/target_registry.h"
#include "forwarder/forwarder_counters.h"
#include "io/time_source.h"
#include "log/event_log.h"
#include "store/object_listener.h"

#include <optional>

namespace briarpoint {

/// Applies the targets' entries in the store to the registry. An entry that can't be parsed
/// provides no target; the others stay in use.
class registration_listener final : public object_listener {
public:
  /// Everything that is referred to must outlive the object. \p OnList is called after each list.
  registration_listener(const object_format &Format, target_registry &Targets,
                        packet_forwarder &Forwarder, time_source &Clock, event_log &Log,
                        forwarder_counters &Counters, std::function<void()> OnList);

  void onList(const std::vector<stored_object> &Objects, const store_position &Position) override;
  void onChanges(const std::vector<object_change> &Changes,
                 const store_position &Position) override;
  void onContactChanged(bool InContact, call_outcome Outcome) override;
  void onEraRose(instant RecoveryEndsAt) override;

  /// When the first list is assumed to be complete; Never before that list. Entries lapse while the
  /// store is unreachable, so a list that is read just after an outage may lack most targets.
  instant assumedCompleteAt() const { return AssumedCompleteAt; }

private:
  std::optional<target_registration> parse(const stored_object &Object, std::uint64_t Era);
  void logChange(const target_registration &Registration);

  const object_format &Format;
  target_registry &Targets;
  packet_forwarder &Forwarder;
  time_source &Clock;
  event_log &Log;
  forwarder_counters &Counters;
  std::function<void()> OnList;
  bool LostContact = false;
  instant AssumedCompleteAt = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_REGISTRATION_LISTENER_H
