#ifndef BRIARPOINT_CORE_DATA_RECORD_REPLICATOR_H
#define BRIARPOINT_CORE_DATA_RECORD_REPLICATOR_H

#include "core/data/flow_store.h"
#include "core/data/packet_output.h"
#include "core/data/service_matcher.h"
#include "core/data/target_selector.h"
#include "net/packet_view.h"

namespace briarpoint {

/// Replicates records in band: a packet carries its flow's record along the owners, and the last
/// one sends it to the target or the caller.
class record_replicator {
public:
  /// The references must outlive the object.
  record_replicator(member_id Self, flow_store &Store, const slot_directory &Slots,
                    target_directory &Targets, const target_selector &Selector,
                    service_matcher &Matcher, packet_output &Output)
      : Self(Self), Store(Store), Slots(Slots), Targets(Targets), Selector(Selector),
        Matcher(Matcher), Output(Output) {}

  /// Sends \p Packet, which belongs to \p Entry and the service \p Matched, along the other owners.
  /// \p Also is visited too if it isn't an owner.
  void start(flow_entry &Entry, std::span<const std::byte> Packet, packet_direction Direction,
             const service_view *Matched, instant Now, member_id AdditionalMember = NoMember);

  /// Stores the record that a packet carries, or corrects it, and sends the packet on.
  void receive(handover Handover, std::span<const std::byte> Packet, instant Now);

private:
  /// Returns false if the held record contradicts the incoming one, which is then corrected.
  bool store(flow_record &Record, const handover &Handover, bool IsSetup, instant Now);
  void repairEarlierOwners(const flow_record &Record, const handover &Handover);

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
