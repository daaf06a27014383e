#include "core/data/record_merge.h"

namespace briarpoint {

namespace {

/// Chooses between records of different flows on the same 5-tuple by phase and last use.
merge_result mergeReused(const flow_record &Held, const flow_record &Incoming) {
  const bool HeldClosed = Held.Phase == flow_phase::Closed;
  const bool IncomingClosed = Incoming.Phase == flow_phase::Closed;
  if (HeldClosed != IncomingClosed)
    return HeldClosed ? merge_result::Replace : merge_result::Keep;
  if (Held.Phase != Incoming.Phase)
    return Held.Phase == flow_phase::Opening ? merge_result::Replace : merge_result::Keep;
  if (Held.RemainingSeconds != Incoming.RemainingSeconds)
    return Incoming.RemainingSeconds > Held.RemainingSeconds ? merge_result::Replace
                                                             : merge_result::Keep;
  return Incoming.InitialSequence > Held.InitialSequence ? merge_result::Replace
                                                         : merge_result::Keep;
}

} // namespace

merge_result mergeInBand(const flow_record &Held, const flow_record &Incoming, bool IsSetup,
                         bool HeldTargetAccepts) {
  if (Held.InitialSequence == Incoming.InitialSequence) {
    if (Held.Target == Incoming.Target)
      return laterRevision(Held.Revision, Incoming.Revision) ? merge_result::Keep
                                                             : merge_result::Replace;
    return laterRevision(Incoming.Revision, Held.Revision) ? merge_result::Replace
                                                           : merge_result::Correct;
  }
  if (!IsSetup)
    return mergeReused(Held, Incoming);
  // A SYN on the 5-tuple of an open flow may be a late duplicate. Whether it is one or not, the
  // held flow's target answers it (RFC 9293, section 3.10.7.4), so the open flow isn't at risk.
  return Held.Phase == flow_phase::Established && HeldTargetAccepts ? merge_result::Correct
                                                                    : merge_result::Replace;
}

merge_result mergeRecord(const flow_record &Held, const flow_record &Incoming) {
  if (Held.InitialSequence != Incoming.InitialSequence)
    return mergeReused(Held, Incoming);
  if (Held.Revision != Incoming.Revision)
    return laterRevision(Incoming.Revision, Held.Revision) ? merge_result::Replace
                                                           : merge_result::Keep;
  if (Held.Phase != Incoming.Phase)
    return Incoming.Phase > Held.Phase ? merge_result::Replace : merge_result::Keep;
  if (Held.Target != Incoming.Target)
    return Incoming.Target < Held.Target ? merge_result::Replace : merge_result::Keep;
  return Incoming.RemainingSeconds > Held.RemainingSeconds ? merge_result::Replace
                                                           : merge_result::Keep;
}

} // namespace briarpoint
