#ifndef BRIARPOINT_CORE_DATA_REPLY_HANDLER_H
#define BRIARPOINT_CORE_DATA_REPLY_HANDLER_H

#include "core/data/record_replicator.h"
#include "core/data/setup_store.h"
#include "core/filter/admission_table.h"
#include "core/flow/silence_detector.h"

namespace briarpoint {

/// Handles replies of targets: forwards those of the target that holds the flow, updates the flow's
/// phase, and sends refused setups to another target.
class reply_handler {
public:
  /// The references must outlive the object.
  reply_handler(const data_plane_settings &Settings, flow_store &Store, const slot_directory &Slots,
                target_directory &Targets, target_selector &Selector, setup_store &Setups,
                admission_table &Admission, service_matcher &Matcher, record_replicator &Replicator,
                packet_output &Output)
      : Settings(Settings), Store(Store), Slots(Slots), Targets(Targets), Selector(Selector),
        Setups(Setups), Admission(Admission), Matcher(Matcher), Replicator(Replicator),
        Output(Output) {}

  /// Handles a reply that arrived directly from \p Target.
  void handleReplyFromTarget(const target_view &Target, std::span<const std::byte> Bytes,
                             instant Now);

  /// Handles a reply that another balancer handed over.
  void handleReplyFromBalancer(const handover &Handover, std::span<const std::byte> Bytes,
                               instant Now);

  /// Records a failure of the target for each setup that got no reply until its deadline.
  void expireSetups(instant Now);

private:
  /// A parsed reply.
  struct reply {
    /// Valid unless Unreachable.
    packet_view Packet;
    std::span<const std::byte> Bytes;
    flow_key Key;
    flow_id Id;
    target_id Target{};
    /// Whether the reply is an ICMP destination-unreachable message.
    bool Unreachable = false;
  };

  bool parse(std::span<const std::byte> Bytes, target_id Target, reply &Reply);
  void handleUnknown(const reply &Reply, const handover *ReceivedHandover, instant Now);
  void handleKnown(flow_entry &Entry, const reply &Reply, instant Now);
  void handleTcp(flow_entry &Entry, const reply &Reply, instant Now);
  void handleUdp(flow_entry &Entry, const reply &Reply, instant Now);
  /// Records that the target accepted the flow's setup.
  void recordAcceptance(flow_entry &Entry, instant Now);
  void handleRefusal(flow_entry &Entry, const reply &Reply, instant Now);
  /// Sends the flow's setup to another target. Returns false if there is none or the limit of
  /// SetupRetries is reached.
  bool retryAtOtherTarget(flow_entry &Entry, const service_view &Service, instant Now);
  void releaseSetup(flow_entry &Entry);
  void replicate(flow_entry &Entry, const reply &Reply, instant Now);

  const data_plane_settings &Settings;
  flow_store &Store;
  const slot_directory &Slots;
  target_directory &Targets;
  target_selector &Selector;
  setup_store &Setups;
  admission_table &Admission;
  service_matcher &Matcher;
  record_replicator &Replicator;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_REPLY_HANDLER_H
