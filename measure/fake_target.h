#ifndef BRIARPOINT_MEASURE_FAKE_TARGET_H
#define BRIARPOINT_MEASURE_FAKE_TARGET_H

#include "config/target_config.h"
#include "measure/fake_packet.h"

#include <array>
#include <deque>

namespace briarpoint::measure {

/// A target: accepts, answers, refuses. Its connections are known by flow::Holder.
struct fake_target {
  target_config Config;
  target_id Id{};
  std::uint32_t Service = 0;
  std::size_t DataCentre = 0;

  /// False after it died: it answers nothing.
  bool Alive = true;
  /// Says in its health answer that it drains, and asks its callers to reconnect.
  bool Draining = false;
  /// When an operator or the target itself ended the intake of new flows; Never if not.
  instant LeavingSince = Never;

  /// Open connections.
  std::uint32_t Connections = 0;
  /// Requests in progress and waiting, if the slots are modelled.
  std::uint32_t RunningRequests = 0;
  std::deque<fake_packet> WaitingRequests;
  /// Accepted flows whose first request is not answered yet, if the slots are modelled.
  std::uint32_t PendingSetups = 0;
  /// Service time relative to the others'.
  double ServiceTimeFactor = 1.0;

  /// Service time in all, in slot seconds, and what plain hashing would have caused.
  double BusySeconds = 0.0;
  double PlainBusySeconds = 0.0;
  /// Part of Busy whose answers were sent to an open flow.
  double UsefulSeconds = 0.0;
  /// Open flows that plain hashing would have put here.
  std::uint32_t PlainFlows = 0;
  /// Slots in use at the last seconds, newest first; answers of probes may be that old.
  std::array<std::uint32_t, 8> SlotUseHistory{};
  /// Connections refused because the queue was full.
  std::uint64_t Refused = 0;
  std::uint64_t Served = 0;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FAKE_TARGET_H
