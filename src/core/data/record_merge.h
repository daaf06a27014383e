#ifndef BRIARPOINT_CORE_DATA_RECORD_MERGE_H
#define BRIARPOINT_CORE_DATA_RECORD_MERGE_H

#include "core/flow/flow_record.h"

namespace briarpoint {

/// Action for an incoming record when a record of the same 5-tuple is held.
enum class merge_result : std::uint8_t {
  /// Replace the held record by the incoming one.
  Replace,
  /// Keep the held record.
  Keep,
  /// Keep the held record, put it into the packet that carries the incoming one, and send it to the
  /// owners that the packet visited before.
  Correct,
};

/// Chooses between the held record and one that a packet carries from owner to owner. \p IsSetup:
/// the packet is a SYN. \p HeldTargetAccepts: the target of the held record accepts new flows. Of
/// two records of the same flow with different targets the held one is kept, unless the first owner
/// has changed the target since (a later revision).
merge_result mergeInBand(const flow_record &Held, const flow_record &Incoming, bool IsSetup,
                         bool HeldTargetAccepts);

/// Chooses between the held record and one that arrived as control traffic, by last use and
/// revision. Two balancers that merge the same two records in different order keep the same one.
merge_result mergeRecord(const flow_record &Held, const flow_record &Incoming);

/// Whether revision \p A is later than \p B; revisions wrap around.
inline bool laterRevision(std::uint16_t A, std::uint16_t B) {
  return static_cast<std::int16_t>(A - B) > 0;
}

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_RECORD_MERGE_H
