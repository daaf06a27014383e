#ifndef BRIARPOINT_CORE_DATA_RECORD_REPLICATOR_H
#define BRIARPOINT_CORE_DATA_RECORD_REPLICATOR_H

#include "core/data/flow_store.h"
#include "core/data/packet_output.h"
#include "core/data/service_matcher.h"
#include "core/data/target_selector.h"
#include "net/packet_view.h"

namespace briarpoint {

/// Replicates records in band: a packet carries its flow's record from owner to owner, and the last
/// owner sends the packet to the target or the caller.
class record_replicator {
public:
  /// The references must outlive the object.
  record_replicator(member_id Self, flow_store &Store, const slot_directory &Slots,
                    target_directory &Targets, const target_selector &Selector,
                    service_matcher &Matcher, packet_output &Output)
      : Self(Self), Store(Store), Slots(Slots), Targets(Targets), Selector(Selector),
        Matcher(Matcher), Output(Output) {}

  /// Sends \p Packet, which belongs to \p Entry and the service \p Matched, with the entry's record
  /// to the other owners in turn. \p AdditionalMember is visited as well unless it is NoMember.
  void start(flow_entry &Entry, std::span<const std::byte> Packet, packet_direction Direction,
             const service_view *Matched, instant Now, member_id AdditionalMember = NoMember);

  /// Stores or corrects the record that a packet carries, and sends the packet to the next hop.
  void receive(handover Handover, std::span<const std::byte> Packet, instant Now);

private:
  /// Stores \p Record. If the held record takes precedence, overwrites \p Record with it, sends it
  /// to the owners that the packet visited before, and returns false.
  bool store(flow_record &Record, const handover &Handover, bool IsSetup, instant Now);
  /// Sends \p Record to the owners that the packet has visited and to its origin.
  void correctVisitedOwners(const flow_record &Record, const handover &Handover);

  member_id Self;
  flow_store &Store;
  const slot_directory &Slots;
  target_directory &Targets;
  const target_selector &Selector;
  service_matcher &Matcher;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_RECORD_REPLICATOR_H
