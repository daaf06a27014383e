#ifndef BRIARPOINT_CORE_DATA_DATA_PLANE_SETTINGS_H
#define BRIARPOINT_CORE_DATA_DATA_PLANE_SETTINGS_H

#include "base/instant.h"

#include <cstddef>

namespace briarpoint {

/// Settings of the data plane. Each duration is converted to a deadline when a wait starts.
struct data_plane_settings {
  /// Secret shared by the balancers of a fabric that flow ids are computed with.
  std::uint64_t HashSeed = 0;
  /// Maximum number of records in the flow table.
  std::size_t MaxFlows = 1'000'000;
  duration TcpIdleTimeout = std::chrono::hours(24);
  duration UdpIdleTimeout = std::chrono::seconds(180);
  /// Idle timeout of a flow for which one side has sent FIN.
  duration HalfClosedIdleTimeout = std::chrono::hours(1);
  /// Time for which the record of a closed flow is kept.
  duration ClosedFlowRetention = std::chrono::seconds(60);
  /// Timeout for the target's first reply to a flow setup.
  duration SetupTimeout = std::chrono::seconds(3);
  /// Number of other targets that a refused setup is sent to before the caller gets the refusal; at
  /// most 3.
  std::uint32_t SetupRetries = 2;
  /// Maximum number of setups kept until the target's first reply; further ones aren't retried.
  std::size_t MaxSetups = 16384;
  /// Interval at which packets of a flow in use replicate its record again.
  duration TcpRefreshInterval = std::chrono::minutes(10);
  duration UdpRefreshInterval = std::chrono::seconds(60);
  /// Time after a change of a slot's owners during which lookups include the former owners.
  duration ConvergencePeriod = std::chrono::seconds(30);
  /// Limit of background record transfer in bytes per second.
  std::uint32_t TransferBytesPerSecond = 2000;
  /// Allowed relative excess of a target's open flows over the weighted mean in target selection.
  double LoadEpsilon = 0.005;
  /// Thresholds of silence_detector: arrivals of one segment or of datagrams without a reply, and
  /// the time from the first to the last of them.
  std::uint32_t SilenceRepeats = 4;
  duration SilenceSpan = std::chrono::seconds(5);
  /// Interval of reports of target observations.
  duration ReportInterval = std::chrono::seconds(1);

  auto operator<=>(const data_plane_settings &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DATA_PLANE_SETTINGS_H
