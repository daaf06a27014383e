#ifndef BRIARPOINT_CONFIG_SETTINGS_FIELDS_H
#define BRIARPOINT_CONFIG_SETTINGS_FIELDS_H

#include "core/control/control_plane_settings.h"
#include "core/data/data_plane_settings.h"

#include <cstdint>

namespace briarpoint {

/// Calls \p Visit with name, member, minimum and maximum of each field that an operator may change.
/// Reading and comparing settings share this list, so that neither can omit a field.
template <typename T> void visitDataPlaneFields(T &&Visit) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  using s = data_plane_settings;
  Visit("max_flows", &s::MaxFlows, 1000, 100'000'000);
  Visit("tcp_idle", &s::TcpIdleTimeout, minutes(1), hours(7 * 24));
  Visit("udp_idle", &s::UdpIdleTimeout, seconds(1), hours(24));
  Visit("half_closed_idle", &s::HalfClosedIdleTimeout, minutes(1), hours(7 * 24));
  Visit("close_hold", &s::ClosedFlowRetention, seconds(1), minutes(10));
  Visit("setup_timeout", &s::SetupTimeout, milliseconds(100), minutes(1));
  Visit("tcp_refresh", &s::TcpRefreshInterval, seconds(10), hours(24));
  Visit("udp_refresh", &s::UdpRefreshInterval, seconds(1), hours(24));
  Visit("convergence", &s::ConvergencePeriod, seconds(1), minutes(10));
  Visit("transfer_bytes_per_second", &s::TransferBytesPerSecond, 100, 100'000'000);
  Visit("load_epsilon", &s::LoadEpsilon, 0.001, 1.0);
  Visit("silence_repeats", &s::SilenceRepeats, 2, 100);
  Visit("silence_span", &s::SilenceSpan, seconds(1), minutes(10));
  Visit("report_interval", &s::ReportInterval, milliseconds(100), minutes(1));
}

template <typename T> void visitControlPlaneFields(T &&Visit) {
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  using s = control_plane_settings;
  Visit("heartbeat_interval", &s::HeartbeatInterval, milliseconds(100), seconds(30));
  Visit("suspect_after", &s::SuspectAfter, milliseconds(200), minutes(2));
  Visit("dead_after", &s::DeadAfter, milliseconds(100), minutes(2));
  Visit("ring_successors", &s::RingSuccessors, 2, 64);
  Visit("pause_limit", &s::PauseLimit, milliseconds(500), minutes(1));
  Visit("join_limit", &s::JoinLimit, seconds(1), minutes(10));
  Visit("probe_interval", &s::ProbeInterval, milliseconds(100), minutes(1));
  Visit("probers_per_target", &s::ProbersPerTarget, 1, 16);
  Visit("probe_failures", &s::ProbeFailures, 1, 100);
  Visit("slow_start", &s::SlowStart, seconds(0), minutes(60));
  Visit("watchers_per_data_centre", &s::WatchersPerDataCentre, 1, 16);
  Visit("max_ejected", &s::MaxEjected, 0.0, 0.5);
}

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_SETTINGS_FIELDS_H
