#include "forward/admission_control.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarpoint {

double admission_control::position(std::uint32_t Caller, std::uint64_t Round) {
  // 2^64 divided by the golden ratio, so the sum moves by 0.618 of the circle with each round.
  constexpr std::uint64_t Step = 0x9e3779b97f4a7c15U;
  const std::uint64_t Position = mixHash(Caller, 1) + Round * Step;
  return static_cast<double>(Position >> 11U) * 0x1.0p-53;
}

request_class admission_control::classOf(std::uint32_t Priority) const {
  const auto Rank = std::distance(Routes.priorities().begin(), Routes.priorities().find(Priority));
  return static_cast<request_class>(
      std::min<std::size_t>(static_cast<std::size_t>(Rank), RequestClassCount - 1));
}

bool admission_control::admits(const std::string &Service, std::uint32_t Priority,
                               std::uint32_t Caller, instant Now) {
  if (!applies())
    return true;
  service_state &State = Services.try_emplace(Service, Settings.Priorities, Random).first->second;
  const request_class Class = classOf(Priority);
  // What is offered is counted at all times, because it must be known when there is no more room.
  const double Admitted = State.Priorities.offer(Class, Now);
  caller_shares &Callers = State.Callers[static_cast<std::size_t>(Class)];
  Callers.onOffered(Caller, Now);
  std::uint64_t &RejectedCount = State.Rejected[Priority];
  if (!State.Active || Admitted >= 1 || !Pressure.pressure(Service, Now).Known ||
      position(Caller, Round) < Callers.admittedShare(Caller, Admitted, Now))
    return true;
  ++RejectedCount;
  return false;
}

double admission_control::queueingShare(const service_pressure &Load) const {
  const double Held = Settings.QueueTarget * Load.Slots;
  return Load.InProgress > std::max(Held, Settings.Priorities.MinOutcomes)
             ? 1 - Held / Load.InProgress
             : 0;
}

void admission_control::updateService(const std::string &Service, service_state &State,
                                      instant Now) {
  const service_pressure Load = Pressure.pressure(Service, Now);
  const bool Known = applies() && Load.Known;
  const bool Full = Load.InProgress >= Settings.FullAt * Load.Slots;
  const double Tolerated = Settings.Priorities.ToleratedRefusals;
  const double Rejected =
      Load.Rejected > 0 ? Load.Rejected / (Load.Answered + Load.Rejected) - Tolerated : 0;
  const double Queueing = queueingShare(Load) - Tolerated;
  const bool Excess = Rejected > 0 || Queueing > 0;
  if (!State.Active && !(Known && Full && Excess))
    return;
  State.Active = true;
  const bool Stale = std::exchange(State.OutcomesStale, false);
  if (Known) {
    const double Level = State.Priorities.level();
    if (Load.InProgress < Settings.RoomBelow * Load.Slots)
      State.Priorities.scaleLevel(Settings.RoomFactor);
    else if (!Stale && Settings.QueueGain * std::max(0.0, Queueing) >
                           Settings.Priorities.CutGain * std::max(0.0, Rejected))
      State.Priorities.scaleLevel(1 - Settings.QueueGain * Queueing);
    else if (Excess ? !Stale : !Full)
      State.Priorities.recordOutcomes(Load.Answered, Load.Rejected, Now);
    State.OutcomesStale = State.Priorities.level() < Level;
    if (State.Priorities.level() < 1)
      return;
  }
  State.Active = false;
  State.Priorities.admitAll();
}

void admission_control::onSummary(std::uint64_t NewRound, instant Now) {
  if (NewRound == Round)
    return;
  Round = NewRound;
  for (auto &[Service, State] : Services)
    updateService(Service, State, Now);
}

std::vector<admission_status> admission_control::status(instant Now) const {
  std::vector<admission_status> Result;
  for (const auto &[Service, State] : Services) {
    admission_status Status;
    Status.Service = Service;
    Status.Rejected = State.Rejected;
    Status.Active = State.Active && applies() && Pressure.pressure(Service, Now).Known;
    if (Status.Active) {
      Status.Level = State.Priorities.level();
      Status.Admitted = State.Priorities.admitted();
    }
    Result.push_back(std::move(Status));
  }
  return Result;
}

} // namespace briarpoint
