#ifndef BRIARPOINT_CORE_DATA_RECORD_MERGE_H
#define BRIARPOINT_CORE_DATA_RECORD_MERGE_H

#include "core/flow/flow_record.h"

namespace briarpoint {

/// What to do with a record that contradicts the one that is held.
enum class merge_result : std::uint8_t {
  /// Hold the incoming record.
  Replace,
  /// Keep the held one.
  Keep,
  /// Keep the held one, and correct the sender and the packet that carries the incoming one.
  Correct,
};

/// Decides about a record that a packet carries along the owners. \p IsSetup: the packet is a SYN.
/// \p HeldTargetAccepts: the target of the held record takes new flows. Of two records of the same
/// flow the held (older) one wins, unless the first owner has changed the target since
/// (a higher revision).
merge_result mergeInBand(const flow_record &Held, const flow_record &Incoming, bool IsSetup,
                         bool HeldTargetAccepts);

/// Decides about a record that came as control traffic, by last use and revision. Two balancers
/// that merge the same two records in different order keep the same one.
merge_result mergeRecord(const flow_record &Held, const flow_record &Incoming);

/// Whether revision \p A is later than \p B; revisions wrap around.
inline bool laterRevision(std::uint16_t A, std::uint16_t B) {
  return static_cast<std::int16_t>(A - B) > 0;
}

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_RECORD_MERGE_H
