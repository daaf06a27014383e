#ifndef BRIARPOINT_CORE_DATA_PACKET_OUTPUT_H
#define BRIARPOINT_CORE_DATA_PACKET_OUTPUT_H

#include "core/data/data_plane_counters.h"
#include "core/data/data_plane_listener.h"
#include "core/view/forwarding_view.h"

namespace briarpoint {

/// Sends packets of the data plane and counts them. Before each send to a target it checks that the
/// target belongs to the packet's service.
class packet_output {
public:
  /// \p Listener and \p Counters must outlive the object.
  packet_output(data_plane_listener &Listener, data_plane_counters &Counters)
      : Listener(Listener), Counters(Counters) {}

  /// \p NewView must live until the next call.
  void setView(const forwarding_view &NewView) { View = &NewView; }
  const forwarding_view &view() const { return *View; }
  data_plane_listener &listener() { return Listener; }
  data_plane_counters &counters() { return Counters; }

  void drop(drop_reason Reason) { ++Counters.Dropped[static_cast<std::size_t>(Reason)]; }

  void sendToCaller(std::span<const std::byte> Packet) { Listener.sendToCaller(Packet); }

  /// Sends a packet addressed to the service \p Matched, of a flow of \p FlowService, to \p Target.
  /// Drops it if the three don't belong together or a pointer is null.
  void sendToTarget(const target_view *Target, service_id FlowService, const service_view *Matched,
                    std::span<const std::byte> Packet) {
    if (Target == nullptr || Matched == nullptr || Target->Service != FlowService ||
        Matched->Id != FlowService)
      drop(drop_reason::WrongService);
    else
      Listener.sendToTarget(*Target, Packet);
  }

  /// Sends to the member with this index in the view. Drops the packet if it was handed over
  /// MaxHandovers times already.
  void sendToMember(std::uint32_t Index, handover Handover, std::span<const std::byte> Packet);

  /// Sends to the first remaining hop that is in the view and neither suspected nor dead. Returns
  /// false if there is none.
  bool sendToNextHop(handover Handover, std::span<const std::byte> Packet);

private:
  data_plane_listener &Listener;
  data_plane_counters &Counters;
  const forwarding_view *View = nullptr;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_PACKET_OUTPUT_H
