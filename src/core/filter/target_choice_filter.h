#ifndef BRIARPOINT_CORE_FILTER_TARGET_CHOICE_FILTER_H
#define BRIARPOINT_CORE_FILTER_TARGET_CHOICE_FILTER_H

#include "core/data/flow_store.h"
#include "core/data/packet_output.h"
#include "core/data/setup_store.h"
#include "core/data/target_selector.h"
#include "core/filter/packet_filter.h"

namespace briarpoint {

/// Chooses the target of a new flow, or another target for a flow whose target is dead, and creates
/// or updates the record.
class target_choice_filter final : public packet_filter {
public:
  /// The references must outlive the object.
  target_choice_filter(flow_store &Store, target_directory &Targets, target_selector &Selector,
                       setup_store &Setups, packet_output &Output)
      : Store(Store), Targets(Targets), Selector(Selector), Setups(Setups), Output(Output) {}

  filter_result apply(packet_context &Context) override;

private:
  std::uint32_t choose(const packet_context &Context);

  flow_store &Store;
  target_directory &Targets;
  target_selector &Selector;
  setup_store &Setups;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_TARGET_CHOICE_FILTER_H
