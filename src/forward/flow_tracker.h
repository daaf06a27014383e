#ifndef BRIARPOINT_FORWARD_FLOW_TRACKER_H
#define BRIARPOINT_FORWARD_FLOW_TRACKER_H

#include "forward/caller_packet.h"
#include "forward/flow_observer.h"
#include "forward/target.h"
#include "forward/tracked_flow.h"

#include <cstddef>
#include <unordered_map>

namespace briarpoint {

/// Follows the callers' side of flows and tells the targets' health what it shows. Holds a limited
/// number of flows; further ones are forwarded without being followed.
class flow_tracker {
public:
  /// A repeat that comes sooner than this after the packet it repeats waited in the balancer's own
  /// queue, and says nothing about the target. Callers repeat after 200 ms.
  static constexpr duration RepeatTime = std::chrono::milliseconds(120);

  /// \p Observer must outlive the object.
  flow_tracker(std::size_t MaxFlows, flow_observer &Observer)
      : MaxFlows(MaxFlows), Observer(Observer) {}
  flow_tracker(const flow_tracker &) = delete;
  flow_tracker &operator=(const flow_tracker &) = delete;

  tracked_flow *find(const flow_address &Flow);

  /// Starts to follow a flow that \p Target takes. Returns nothing if the tracker is full.
  tracked_flow *add(const caller_packet &Packet, target *Target, instant Now);

  /// Takes in a packet of a followed flow and updates the health of its target.
  void observe(tracked_flow &Flow, const caller_packet &Packet, instant Now);

  /// Moves a flow that isn't open yet to another target.
  static void move(tracked_flow &Flow, target *Target);

  void erase(const flow_address &Flow);

  /// Calls \p Remove with each flow; a flow for which it returns true is forgotten.
  template <typename T> void eraseIf(T &&Remove) {
    for (auto It = Flows.begin(); It != Flows.end();) {
      if (!Remove(It->first, It->second)) {
        ++It;
        continue;
      }
      move(It->second, nullptr);
      It = Flows.erase(It);
    }
  }

  std::size_t size() const { return Flows.size(); }

private:
  void takeAnswer(const tracked_flow &Flow, instant Now);

  std::size_t MaxFlows;
  flow_observer &Observer;
  std::unordered_map<flow_address, tracked_flow, flow_address_hash> Flows;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_TRACKER_H
