#ifndef BRIARPOINT_CORE_FILTER_FORWARD_FILTER_H
#define BRIARPOINT_CORE_FILTER_FORWARD_FILTER_H

#include "core/data/record_replicator.h"
#include "core/filter/packet_filter.h"
#include "core/flow/silence_detector.h"

namespace briarpoint {

/// Sends the packet to its flow's target, directly or by way of the other owners. Ends the flow if
/// the target is dead or silent.
class forward_filter final : public packet_filter {
public:
  /// The references must outlive the object.
  forward_filter(const silence_detector &Detector, flow_store &Store, target_directory &Targets,
                 target_selector &Selector, record_replicator &Replicator, packet_output &Output)
      : Detector(Detector), Store(Store), Targets(Targets), Selector(Selector),
        Replicator(Replicator), Output(Output) {}

  filter_result apply(packet_context &Context) override;

private:
  void endFlowOfDeadTarget(packet_context &Context);
  void endSilentFlow(packet_context &Context);

  const silence_detector &Detector;
  flow_store &Store;
  target_directory &Targets;
  target_selector &Selector;
  record_replicator &Replicator;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_FORWARD_FILTER_H
