#ifndef BRIARPOINT_CORE_FILTER_PACKET_CONTEXT_H
#define BRIARPOINT_CORE_FILTER_PACKET_CONTEXT_H

#include "core/data/handover.h"
#include "core/data/slot_directory.h"
#include "net/packet_view.h"

namespace briarpoint {

/// A forward packet in the filter chain, and the results of the filters so far.
struct packet_context {
  packet_view Packet;
  flow_id Id;
  instant Now{};
  /// Header from the balancer that handed the packet over; null if the packet came from the fabric.
  const handover *ReceivedHandover = nullptr;

  /// Set by service_match_filter; its pointers aren't null afterwards.
  forwarding_view::service_match Match;
  /// Set by flow_lookup_filter; never null afterwards.
  const slot_route *Route = nullptr;
  /// The flow; set by flow_lookup_filter if it has a record, else by target_choice_filter.
  flow_entry *Entry = nullptr;
  /// Whether the packet sets up a new flow, possibly on the 5-tuple of Entry.
  bool OpensFlow = false;
  /// Whether the flow's target is dead and another one must be chosen.
  bool ChangesTarget = false;
  /// Whether the packet must carry the record to the other owners.
  bool Replicates = false;

  /// Prepares the context for another packet. Packet, Id, Match and Route aren't reset, because
  /// they are set for every packet.
  void reset(instant Time, const handover *Handover) {
    Now = Time;
    ReceivedHandover = Handover;
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
