#ifndef BRIARPOINT_FORWARD_SERVICE_PRESSURE_H
#define BRIARPOINT_FORWARD_SERVICE_PRESSURE_H

#include "base/instant.h"

#include <string>

namespace briarpoint {

/// The load of a service over all data centres in reach of new flows, as pooled by all balancers.
struct service_pressure {
  /// Requests that wait or run at working targets.
  double InProgress = 0;
  /// Slots of the working targets that accept flows.
  double Slots = 0;
  /// Requests answered and rejected by targets in the interval of the last summary.
  double Answered = 0;
  double Rejected = 0;
  /// False if there is no summary that still counts; then the other values mean nothing.
  bool Known = false;

  auto operator<=>(const service_pressure &) const = default;
};

/// Knows the load of services.
class pressure_source {
public:
  virtual ~pressure_source() = default;

  virtual service_pressure pressure(const std::string &Service, instant Now) const = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_SERVICE_PRESSURE_H
