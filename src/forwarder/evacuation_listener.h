#ifndef BRIARPOINT_FORWARDER_EVACUATION_LISTENER_H
#define BRIARPOINT_FORWARDER_EVACUATION_LISTENER_H

#include "forward/evacuation_table.h"
#include "forward/object_format.h"
#include "forward/target_registry.h"
#include "forwarder/forwarder_counters.h"
#include "io/time_source.h"
#include "log/event_log.h"
#include "store/object_listener.h"
#include "store/recovering_names.h"

#include <map>
#include <optional>
#include <string>

namespace briarpoint {

/// Applies the operators' evacuations in the store to the table and to the targets. An object
/// counts by its name alone. One without a readable name is refused; the others hold. After the
/// store came back from an older copy, the evacuations in force hold for the recovery time.
class evacuation_listener final : public object_listener {
public:
  /// Everything that is referred to must outlive the object.
  evacuation_listener(const object_format &Format, evacuation_table &Evacuations,
                      target_registry &Targets, time_source &Clock, event_log &Log,
                      forwarder_counters &Counters)
      : Format(Format), Evacuations(Evacuations), Targets(Targets), Clock(Clock), Log(Log),
        Counters(Counters) {}

  void onList(const std::vector<stored_object> &Objects, const store_position &Position) override;
  void onChanges(const std::vector<object_change> &Changes,
                 const store_position &Position) override;
  void onContactChanged(bool InContact, call_outcome Outcome) override;
  void onEraRose(instant RecoveryEndsAt) override;

  /// Applies the changes that are due: those at the end of the recovery time, and withdrawals. Call
  /// it at an interval. All entries of targets that the store had at \p TargetsCurrentAt are
  /// registered.
  ///
  /// A withdrawal takes effect once the entries of targets are at least as new: the targets may
  /// have become cold shortly before, and warm_up_limiter goes by their entries. Without a proof,
  /// it takes effect after MaxWithdrawalDelay.
  void update(instant TargetsCurrentAt);
  /// Returns when the latest withdrawal that hasn't taken effect was received; instant::min() if
  /// there is none.
  instant withdrawalPendingSince() const;

  /// The last call failed, and none has succeeded since.
  bool contactLost() const { return ContactLost; }

private:
  /// Longer than a read of the revision takes, from a reader that doesn't answer and then from the
  /// store, and the watch of targets that follows.
  static constexpr duration MaxWithdrawalDelay = std::chrono::seconds(4);

  /// Returns the data centre that the object names, or nothing after it was refused.
  std::optional<std::string> parse(const stored_object &Object, std::uint64_t Revision);
  void logChange(const std::string &DataCentre, const char *State);

  const object_format &Format;
  evacuation_table &Evacuations;
  target_registry &Targets;
  time_source &Clock;
  event_log &Log;
  forwarder_counters &Counters;
  recovering_names Names;
  /// When withdrawals that haven't taken effect were received, by data centre.
  std::map<std::string, instant> Withdrawals;
  instant TargetsCurrentAt{};
  /// Position of the store up to which evacuations were reported.
  store_position Position;
  bool ContactLost = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_EVACUATION_LISTENER_H
