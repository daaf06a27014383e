#ifndef BRIARPOINT_CORE_DATA_DATA_PLANE_SETTINGS_H
#define BRIARPOINT_CORE_DATA_DATA_PLANE_SETTINGS_H

#include "base/instant.h"

#include <cstddef>

namespace briarpoint {

/// Settings of the data plane. Lengths of time are turned into deadlines when a wait starts.
struct data_plane_settings {
  /// Shared secret of the fabric for flow ids.
  std::uint64_t HashSeed = 0;
  /// Records that the flow table holds at most.
  std::size_t MaxFlows = 1'000'000;
  duration TcpIdleTimeout = std::chrono::hours(24);
  duration UdpIdleTimeout = std::chrono::seconds(180);
  /// Idle time of a flow that one side has finished.
  duration HalfClosedIdleTimeout = std::chrono::hours(1);
  /// How long the record of a closed flow is kept.
  duration ClosedFlowRetention = std::chrono::seconds(60);
  /// How long a setup may wait for the target's first reply.
  duration SetupTimeout = std::chrono::seconds(3);
  /// Other targets that a refused setup is sent to before the caller is told; at most 3.
  std::uint32_t SetupRetries = 2;
  /// Setups that wait for the target's first reply at most; further ones aren't retried.
  std::size_t MaxSetups = 16384;
  duration TcpRefreshInterval = std::chrono::minutes(10);
  duration UdpRefreshInterval = std::chrono::seconds(60);
  /// How long earlier owners of a slot are asked after a change.
  duration ConvergencePeriod = std::chrono::seconds(30);
  /// Budget of background record transfer in bytes a second.
  std::uint32_t TransferBytesPerSecond = 2000;
  /// Allowed excess over the weighted mean in target selection.
  double LoadEpsilon = 0.005;
  /// Silence criterion: repeats of one segment or datagram, and the time they span.
  std::uint32_t SilenceRepeats = 4;
  duration SilenceSpan = std::chrono::seconds(5);
  /// How often observations are reported.
  duration ReportInterval = std::chrono::seconds(1);

  auto operator<=>(const data_plane_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DATA_PLANE_SETTINGS_H
