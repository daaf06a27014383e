#ifndef BRIARPOINT_FORWARD_LOAD_SPILL_H
#define BRIARPOINT_FORWARD_LOAD_SPILL_H

#include <algorithm>
#include <cmath>
#include <span>
#include <string>
#include <vector>

namespace briarpoint {

/// Load of a service in a data centre.
struct data_centre_load {
  std::string DataCentre;
  /// It is the balancer's own data centre.
  bool Local = false;
  /// Slots of the working targets that accept flows.
  double Slots = 0;
  /// Requests in progress at working targets, also those that wait there.
  double InProgress = 0;
  /// Answers and rejections in the last summary interval.
  double Answered = 0;
  double Rejected = 0;
  /// It is another data centre, and no balancer has reported an answer from there lately. It may be
  /// cut off, so that its load isn't known here.
  bool Silent = false;

  /// A data centre that rejects this share of the requests is full, whatever the sum of the
  /// requests in progress: at first, only a part of the balancers has reported.
  static constexpr double FullRejectionShare = 0.07;

  /// Requests in progress less the scatter of their number: with few slots, chance alone fills them
  /// for a moment.
  double certainInProgress() const { return InProgress - std::sqrt(InProgress); }
  bool full() const {
    return certainInProgress() >= Slots || Rejected > FullRejectionShare * (Answered + Rejected);
  }
  double room() const { return Silent || full() ? 0 : std::max(0.0, Slots - InProgress); }
};

/// Decides how new flows are divided between data centres while pooled load is known. The shares
/// are proportional to the room, so that balancers that decide at the same time don't all send
/// their flows to the same place, and callers return gradually.
class load_spill {
public:
  /// Below this number of requests in progress per slot, all new flows stay in their own data
  /// centre. Response times double at a load of about 0.85.
  static constexpr double BeginsAt = 0.7;
  /// From here on, the own data centre has no room, and all flows leave for which there is some
  /// elsewhere.
  static constexpr double FullAt = 1.0;

  /// Returns 0 up to BeginsAt, 1 from FullAt on, and values between in between; 1 if the own data
  /// centre has no targets.
  static double localPressure(std::span<const data_centre_load> Loads);

  /// Returns the probability with which a new flow leaves its own data centre.
  static double probability(std::span<const data_centre_load> Loads);

  /// Returns the share of new flows of each data centre; the sum is 1 unless \p Loads is empty.
  static std::vector<double> shares(std::span<const data_centre_load> Loads);
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_LOAD_SPILL_H
