#ifndef BRIARPOINT_CORE_FILTER_PACKET_CONTEXT_H
#define BRIARPOINT_CORE_FILTER_PACKET_CONTEXT_H

#include "core/data/handover.h"
#include "core/data/slot_directory.h"
#include "net/packet_view.h"

namespace briarpoint {

/// A forward packet on its way through the filter chain, and what the filters found out about it.
struct packet_context {
  packet_view Packet;
  flow_id Id;
  instant Now{};
  /// Null if the packet came from the fabric.
  const handover *ReceivedHandover = nullptr;

  /// Set by service_match_filter; never null afterwards.
  forwarding_view::service_match Match;
  /// Set by flow_lookup_filter; never null afterwards.
  const slot_route *Route = nullptr;
  /// The flow; set by flow_lookup_filter if it is known, else by target_choice_filter.
  flow_entry *Entry = nullptr;
  /// The packet sets up a new flow, possibly on the 5-tuple of Entry.
  bool OpensFlow = false;
  /// The flow's target is dead and another one is needed.
  bool ChangesTarget = false;
  /// The packet carries the record along the owners.
  bool Replicates = false;

  /// Prepares the context for another packet. Packet, Id, Match and Route are set anew anyway.
  void reset(instant Time, const handover *Arrival) {
    Now = Time;
    ReceivedHandover = Arrival;
    Entry = nullptr;
    OpensFlow = false;
    ChangesTarget = false;
    Replicates = false;
  }

  bool receivedAs(handover_kind Kind) const {
    return ReceivedHandover != nullptr && ReceivedHandover->Kind == Kind;
  }
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_PACKET_CONTEXT_H
