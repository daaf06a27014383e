#ifndef BRIARPOINT_FORWARD_FLOW_TRACKER_H
#define BRIARPOINT_FORWARD_FLOW_TRACKER_H

#include "forward/caller_packet.h"
#include "forward/flow_observer.h"
#include "forward/load_meter.h"
#include "forward/target.h"
#include "forward/tracked_flow.h"

#include <cstddef>
#include <unordered_map>

namespace briarpoint {

/// Tracks flows by their callers' packets and updates the inferred health and response times of the
/// targets. Holds a limited number of flows; further ones are forwarded without being tracked.
class flow_tracker {
public:
  /// A repeat that arrives sooner than this after a copy was forwarded was delayed in the
  /// balancer's own queue, so it is no evidence about the target. Callers repeat after 200 ms.
  static constexpr duration MinRepeatDelay = std::chrono::milliseconds(120);

  /// Repeats of a request after which it counts as failed if its target answered others meanwhile.
  /// A working target with a full queue answers before the second one, after 600 ms.
  static constexpr std::uint8_t FailureRepeats = 2;

  /// \p Observer must outlive the object.
  flow_tracker(std::size_t MaxFlows, flow_observer &Observer)
      : MaxFlows(MaxFlows), Observer(Observer) {}
  flow_tracker(const flow_tracker &) = delete;
  flow_tracker &operator=(const flow_tracker &) = delete;

  /// Returns nullptr if the flow isn't tracked.
  tracked_flow *find(const flow_address &Flow);

  /// Starts to track a flow that is assigned to \p Target. Returns nullptr if the tracker is full.
  tracked_flow *add(const caller_packet &Packet, target *Target, instant Now);

  /// Processes a packet of a tracked flow and updates the health of its target. A repeat is
  /// evidence only if the target was sent a copy before.
  void observe(tracked_flow &Flow, const caller_packet &Packet, instant Now);

  /// The packet, which was observed or added before, is forwarded to the flow's target.
  static void onForwarded(tracked_flow &Flow, const caller_packet &Packet, instant Now);

  /// Assigns a flow to another target, or to none if \p Target is nullptr.
  static void reassign(tracked_flow &Flow, target *Target);

  void erase(const flow_address &Flow);

  /// Calls \p Predicate with the address and state of each flow, and erases those for which it
  /// returns true.
  template <typename T> void eraseIf(T &&Predicate) {
    for (auto It = Flows.begin(); It != Flows.end();) {
      if (!Predicate(It->first, It->second)) {
        ++It;
        continue;
      }
      reassign(It->second, nullptr);
      It = Flows.erase(It);
    }
  }

  /// Counts the flows, and the requests in progress at working targets.
  void measureLoad(instant Now);
  load_meter &meter() { return Meter; }

  std::size_t size() const { return Flows.size(); }

private:
  static void countFailure(target &Target);
  void recordAnswer(const tracked_flow &Flow, instant Now);

  std::size_t MaxFlows;
  flow_observer &Observer;
  load_meter Meter;
  std::unordered_map<flow_address, tracked_flow, flow_address_hash> Flows;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_TRACKER_H
