#ifndef BRIARPOINT_MEASURE_CONTROL_TRAFFIC_H
#define BRIARPOINT_MEASURE_CONTROL_TRAFFIC_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace briarpoint::measure {

/// Kinds of control traffic. HandoverOptions are bytes in data packets; they are reported but don't
/// count in the total.
enum class traffic_kind : std::uint8_t {
  Heartbeats,
  States,
  Records,
  Probes,
  Configuration,
  HandoverOptions,
  Count,
};

inline constexpr std::size_t TrafficKindCount = static_cast<std::size_t>(traffic_kind::Count);

/// Control bytes that balancers sent.
struct control_traffic {
  std::array<double, TrafficKindCount> Bytes{};
  /// Sum of the seconds that balancers ran.
  double Seconds = 0.0;
  /// Largest number of control bytes that one balancer sent within one second.
  double BusiestSecond = 0.0;

  /// Mean bytes per second and balancer, of one kind or of all kinds except the hand-over options.
  double mean(traffic_kind Kind) const {
    return Seconds > 0.0 ? Bytes[static_cast<std::size_t>(Kind)] / Seconds : 0.0;
  }
  double mean() const {
    double Sum = 0.0;
    for (std::size_t I = 0; I + 1 < TrafficKindCount; ++I)
      Sum += mean(static_cast<traffic_kind>(I));
    return Sum;
  }
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_CONTROL_TRAFFIC_H
