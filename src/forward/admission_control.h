#ifndef BRIARPOINT_FORWARD_ADMISSION_CONTROL_H
#define BRIARPOINT_FORWARD_ADMISSION_CONTROL_H

#include "forward/caller_shares.h"
#include "forward/flow_admission.h"
#include "forward/route_table.h"
#include "forward/service_pressure.h"
#include "request/priority_admission.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace briarpoint {

/// Returns the settings of priority_admission for pooled outcomes. They come once in 500 ms and are
/// many, so each set is evaluated alone, once, and the level follows it in few steps.
constexpr priority_admission_settings pooledAdmissionSettings() {
  priority_admission_settings Result;
  Result.CutGain = 0.8;
  Result.RaiseGain = 1.0;
  Result.OutcomeDecay = 0.0;
  return Result;
}

/// Settings of admission_control.
struct admission_control_settings {
  /// A service has no room from this number of requests in progress per slot on.
  double FullAt = 1.0;
  /// Below this number it has room again, and the admitted share is multiplied by RoomFactor with
  /// each summary: in 4 s or less, all flows are admitted. If they were admitted at once, a load of
  /// several times the room would fill all queues within one interval. load_spill uses the same
  /// number. In between, the share rises slowly.
  double RoomBelow = 0.7;
  double RoomFactor = 1.5;
  /// Requests in progress per slot that targets can hold without being late. With two, a request
  /// waits for about as long as it is served; with more, slower targets or uneven work use up the
  /// latency objectives of 300 to 600 ms of services that take 50 to 75 ms. Requests beyond it are
  /// excess load: targets that reject a request only after it has waited in their queue don't show
  /// the excess by early answers.
  double QueueTarget = 2.0;
  /// Relative change of the level per summary and excess share of queueing, half of that for
  /// rejections: a queue is partly left from earlier intervals, so a larger cut would leave slots
  /// unused.
  double QueueGain = 0.4;
  /// ToleratedRefusals is also the share of excess load above which admission control begins. From
  /// fewer requests in progress than MinOutcomes, no queueing is inferred.
  priority_admission_settings Priorities = pooledAdmissionSettings();

  auto operator<=>(const admission_control_settings &) const = default;
};

/// What admission control does for one service.
struct admission_status {
  std::string Service;
  /// Flows may be rejected.
  bool Active = false;
  /// Share of the offered flows that is admitted, from 0 to 1.
  double Level = 1;
  /// Admitted share by class of priorities, highest first.
  std::array<double, RequestClassCount> Admitted{1, 1, 1};
  /// Rejected flows since the start, by priority.
  std::map<std::uint32_t, std::uint64_t> Rejected;
};

/// Rejects new flows while all data centres together have too little room for a service, the lowest
/// priorities first. Made for a load of up to four times the room. Without it, full targets reject
/// requests of all priorities alike.
///
/// All balancers reject nearly the same callers, by a position that each caller's address has on a
/// circle. It moves with each summary, so that the rejections change between callers.
class admission_control final : public flow_admission {
public:
  /// \p Routes, \p Pressure and \p Random must outlive the object.
  admission_control(const admission_control_settings &Settings, const route_table &Routes,
                    const pressure_source &Pressure, random_source &Random)
      : Settings(Settings), Routes(Routes), Pressure(Pressure), Random(Random) {}

  bool admits(const std::string &Service, std::uint32_t Priority, std::uint32_t Caller,
              instant Now) override;

  /// Call it for each new summary of the pooled load with the number of its round.
  void onSummary(std::uint64_t Round, instant Now);

  /// Returns the state of all services that were offered flows, ordered by service.
  std::vector<admission_status> status(instant Now) const;

  /// Returns the caller's position in a round, as a share of the circle from 0 to 1. A caller is
  /// admitted if its position is below the admitted share.
  static double position(std::uint32_t Caller, std::uint64_t Round);

private:
  struct service_state {
    service_state(const priority_admission_settings &Settings, random_source &Random)
        : Priorities(Settings, Random) {}
    priority_admission Priorities;
    std::array<caller_shares, RequestClassCount> Callers;
    std::map<std::uint32_t, std::uint64_t> Rejected;
    bool Active = false;
    /// The outcomes of the next summary are partly from before the level was lowered.
    bool OutcomesStale = false;
  };

  /// The configuration has more than one priority.
  bool applies() const { return Routes.priorities().size() > 1; }
  /// Returns the class of a priority: the highest one of the configuration is the first class, the
  /// next one the second, and all others the third.
  request_class classOf(std::uint32_t Priority) const;
  /// Returns the share of the requests in progress that is beyond the queue target, from 0 to 1.
  double queueingShare(const service_pressure &Load) const;
  void updateService(const std::string &Service, service_state &State, instant Now);

  admission_control_settings Settings;
  const route_table &Routes;
  const pressure_source &Pressure;
  random_source &Random;
  std::uint64_t Round = 0;
  std::map<std::string, service_state> Services;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_ADMISSION_CONTROL_H
