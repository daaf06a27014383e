#ifndef BRIARPOINT_MEASURE_TRAFFIC_SETTINGS_H
#define BRIARPOINT_MEASURE_TRAFFIC_SETTINGS_H

#include "base/instant.h"

namespace briarpoint::measure {

/// Settings of the simulated callers and targets.
struct traffic_settings {
  /// New short-lived flows per second, over all services.
  double NewFlowsPerSecond = 3000.0;
  /// Number of long-lived flows, opened at the start and replaced when they end.
  std::uint32_t LongFlows = 62'000;
  /// Period over which the long-lived flows are opened.
  duration RampUp = std::chrono::seconds(12);
  /// Share of flows that use UDP, of both the short-lived and the long-lived ones.
  double UdpShare = 0.2;
  /// Requests of a short-lived flow, and the mean time between an answer and the next request.
  std::uint32_t RequestsPerShortFlow = 3;
  duration ShortRequestInterval = std::chrono::seconds(2);
  /// Mean time between an answer and the next request of a long-lived flow.
  duration LongRequestInterval = std::chrono::seconds(40);
  /// Mean service time of a request.
  duration ServiceTime = std::chrono::milliseconds(1);
  /// Whether requests occupy slots of the target and queue for them.
  bool ModelSlots = false;
  /// Most flows that may wait at a target beyond its slots; further setups are refused.
  std::uint32_t QueueLimit = 1'000'000;
  /// Number of targets of the first service that take three times as long.
  std::uint32_t SlowTargets = 0;
  /// Age of the slot use in health answers, in seconds; 0 for the current use.
  std::uint32_t ReportAgeSeconds = 0;
  /// Share of TCP flows of the critical and of the bulk class; the rest is normal. UDP flows are
  /// critical.
  double CriticalShare = 0.3;
  double BulkShare = 0.4;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_TRAFFIC_SETTINGS_H
