#ifndef BRIARPOINT_MEASURE_TRAFFIC_SETTINGS_H
#define BRIARPOINT_MEASURE_TRAFFIC_SETTINGS_H

#include "base/instant.h"

namespace briarpoint::measure {

/// Settings of the fake callers and targets.
struct traffic_settings {
  /// New short-lived flows a second, over all services.
  double NewFlowsPerSecond = 3000.0;
  /// Long-lived flows that are opened at the start and replaced when they end.
  std::uint32_t LongFlows = 62'000;
  /// Time in which they are opened.
  duration RampUp = std::chrono::seconds(12);
  /// Share of short-lived and long-lived flows that use UDP.
  double UdpShare = 0.2;
  /// Requests of a short-lived flow, and the mean time between them.
  std::uint32_t RequestsPerShortFlow = 3;
  duration ShortRequestInterval = std::chrono::seconds(2);
  /// Mean time between requests of a long-lived flow.
  duration LongRequestInterval = std::chrono::seconds(40);
  /// Mean service time of a request.
  duration ServiceTime = std::chrono::milliseconds(1);
  /// Requests occupy slots of the target and wait for them.
  bool ModelSlots = false;
  /// Requests that wait at a target at most; further connections are refused.
  std::uint32_t QueueLimit = 1'000'000;
  /// Targets of the first service that take three times as long.
  std::uint32_t SlowTargets = 0;
  /// Age of the slot use in health answers.
  std::uint32_t ReportAgeSeconds = 0;
  /// Share of the critical and of the bulk class; the rest is normal.
  double CriticalShare = 0.3;
  double BulkShare = 0.4;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_TRAFFIC_SETTINGS_H
