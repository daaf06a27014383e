#ifndef BRIARPOINT_MEASURE_FAKE_TARGET_H
#define BRIARPOINT_MEASURE_FAKE_TARGET_H

#include "config/target_config.h"
#include "measure/fake_packet.h"

#include <array>
#include <deque>

namespace briarpoint::measure {

/// State of a simulated target. Its connections are the flows whose fake_flow::AcceptingTarget is
/// its index.
struct fake_target {
  target_config Config;
  target_id Id{};
  std::uint32_t Service = 0;
  std::size_t DataCentre = 0;

  /// False once the target has failed; it then answers nothing.
  bool Alive = true;
  /// The target reports in its health answers that it drains, and requests its callers to
  /// reconnect.
  bool Draining = false;
  /// Time at which an operator or the target itself stopped the acceptance of new flows; Never if
  /// it accepts them.
  instant LeavingSince = Never;

  /// Open connections.
  std::uint32_t Connections = 0;
  /// Requests in progress and queued, if slots are modelled.
  std::uint32_t RunningRequests = 0;
  std::deque<fake_packet> WaitingRequests;
  /// Accepted flows whose first request isn't answered yet, if slots are modelled.
  std::uint32_t PendingSetups = 0;
  /// Service time relative to that of a normal target.
  double ServiceTimeFactor = 1.0;

  /// Total service time in slot seconds, and the total under plain hashing.
  double BusySeconds = 0.0;
  double PlainBusySeconds = 0.0;
  /// Part of BusySeconds whose answers were sent to open flows.
  double UsefulSeconds = 0.0;
  /// Open flows that plain hashing would assign to this target.
  std::uint32_t PlainFlows = 0;
  /// Slots in use, one sample per second, newest first. Probes return an old sample if
  /// traffic_settings::ReportAgeSeconds is set.
  std::array<std::uint32_t, 8> SlotUseHistory{};
  /// Setups refused because the queue was full.
  std::uint64_t Refused = 0;
  std::uint64_t Served = 0;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FAKE_TARGET_H
