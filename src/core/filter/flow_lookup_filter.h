#ifndef BRIARPOINT_CORE_FILTER_FLOW_LOOKUP_FILTER_H
#define BRIARPOINT_CORE_FILTER_FLOW_LOOKUP_FILTER_H

#include "core/data/flow_store.h"
#include "core/data/packet_output.h"
#include "core/data/target_selector.h"
#include "core/filter/packet_filter.h"

namespace briarpoint {

/// Finds the record of a packet's flow. Without one, hands the packet to the first owner of the
/// flow, or looks the record up at the balancers that may hold it.
class flow_lookup_filter final : public packet_filter {
public:
  /// The references must outlive the object.
  flow_lookup_filter(member_id Self, flow_store &Store, const slot_directory &Slots,
                     target_directory &Targets, const target_selector &Selector,
                     packet_output &Output)
      : Self(Self), Store(Store), Slots(Slots), Targets(Targets), Selector(Selector),
        Output(Output) {}

  filter_result apply(packet_context &Context) override;

private:
  filter_result sendToFirstOwner(const packet_context &Context);
  filter_result handleKnownFlow(packet_context &Context);
  void handleSetupOfKnownFlow(packet_context &Context);
  filter_result handleUnknownFlow(packet_context &Context);
  filter_result continueLookup(const packet_context &Context);
  bool startLookup(const packet_context &Context);
  /// Called after the lookup at other balancers, if there was one, found no record.
  filter_result handleFlowWithoutHolder(packet_context &Context);

  member_id Self;
  flow_store &Store;
  const slot_directory &Slots;
  target_directory &Targets;
  const target_selector &Selector;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_FLOW_LOOKUP_FILTER_H
