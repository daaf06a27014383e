#ifndef BRIARPOINT_FORWARD_POOLED_LOAD_H
#define BRIARPOINT_FORWARD_POOLED_LOAD_H

#include "forward/load_message.h"
#include "forward/load_meter.h"
#include "forward/load_spill.h"
#include "forward/service_pressure.h"
#include "forward/target_registry.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace briarpoint {

/// The load of all balancers, from the summaries of the reader.
///
/// Made for a data centre whose callers come several times as usual for some seconds while the
/// targets of all data centres together have room, at 112 balancers with about one flow to each
/// target. A summary that is wrong, late or missing costs quality only: new flows go elsewhere.
class pooled_load final : public pressure_source {
public:
  /// A summary counts for this long after its receipt.
  static constexpr duration Lifetime = std::chrono::milliseconds(1500);
  /// Load is pooled only for services with this many slots in all data centres. With 16 slots in
  /// each of three, the number of those in use scatters by a quarter by chance, and a few balancers
  /// serve them, which know the load by their own flows.
  static constexpr double DefaultMinServiceSlots = 48;

  /// Both must outlive the object.
  pooled_load(const target_registry &Targets, const load_meter &Own,
              double MinServiceSlots = DefaultMinServiceSlots)
      : Targets(Targets), Own(Own), MinServiceSlots(MinServiceSlots) {}

  /// Returns false, and changes nothing, if the summary isn't newer than the last one that counts.
  bool apply(const load_summary &Summary, instant Now);

  bool valid(instant Now) const { return Now < ValidUntil; }
  /// Number of the last summary that was applied; 0 if there was none.
  std::uint32_t round() const { return Round; }
  /// When the last summary was received; instant{} if there was none.
  instant receivedAt() const { return ReceivedAt; }

  /// Returns the load of each data centre that has targets of the service of \p ServiceTargets.
  /// Slots of targets that are suspected don't count, so a data centre may have none. The number of
  /// requests in progress is the mean of the last two summaries, and at least this balancer's own
  /// one.
  std::vector<data_centre_load> dataCentres(std::span<target *const> ServiceTargets,
                                            instant Now) const;

  /// The number of requests in progress is that of the last summary alone, and at least this
  /// balancer's own one: admission_control has a hysteresis of its own, and the delay of a mean
  /// would make its level swing.
  /// Returns whether the load of the service with \p ServiceTargets is pooled.
  bool covers(std::span<target *const> ServiceTargets, instant Now) const;
  service_pressure pressure(const std::string &Service, instant Now) const override;

private:
  double ownInProgress(const std::string &Service, const std::string &DataCentre) const;

  using entries = std::map<load_key, load_summary_entry>;

  const target_registry &Targets;
  const load_meter &Own;
  double MinServiceSlots;
  std::uint32_t Round = 0;
  entries Latest;
  /// The summary before; the same as Latest if it no longer counts.
  entries Previous;
  instant ReceivedAt{};
  instant ValidUntil{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_POOLED_LOAD_H
