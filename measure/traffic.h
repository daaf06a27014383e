#ifndef BRIARPOINT_MEASURE_TRAFFIC_H
#define BRIARPOINT_MEASURE_TRAFFIC_H

#include "measure/fabric_simulation.h"
#include "measure/fake_flow.h"
#include "measure/fake_target.h"
#include "measure/imbalance.h"
#include "measure/traffic_counts.h"
#include "measure/traffic_settings.h"

#include <deque>

namespace briarpoint::measure {

/// Fake callers and targets. Checks each packet against what the flow's caller and target know.
class traffic final : public simulation_listener {
public:
  traffic(const traffic_settings &Settings, const deployment &Deployment);

  /// Starts to open flows. \p Exchange must outlive the object.
  void start(fabric_simulation &Simulation);
  /// Changes the rate of new short-lived flows.
  void setNewFlowsPerSecond(double Rate) { Settings.NewFlowsPerSecond = Rate; }
  double newFlowsPerSecond() const { return Settings.NewFlowsPerSecond; }

  const traffic_counts &counts() const { return Counts; }
  /// Forgets the counts and balance samples so far.
  void resetCounts();
  std::uint32_t openFlows() const { return OpenCount; }

  std::vector<fake_target> &targets() { return Targets; }
  const std::vector<fake_flow> &flows() const { return Flows; }
  /// Adds a target that isn't configured yet; returns its index.
  std::uint32_t addTarget(const std::string &ServiceName, std::uint32_t Service,
                          const target_config &Config);
  /// The target dies; its flows can't go on.
  void kill(std::uint32_t Target);
  /// No new flows are expected on the target 3 s from now.
  void markLeaving(std::uint32_t Target);
  /// The target takes new flows again or for the first time.
  void markActive(std::uint32_t Target);
  /// Its connections of \p Count open flows are lost without a word. Returns how many it found.
  std::uint32_t makeSilent(std::uint32_t Count);
  /// Silent flows that are open although the criterion was met more than 15 s ago.
  std::uint32_t silentOverdue() const;
  /// Whether flows that open from now on count in Offered and Delivered.
  void countOffers(bool Count) { CountOffers = Count; }
  /// Seconds of service whose answers reached an open flow, and refused setups.
  double usefulSeconds(std::uint32_t Service) const;
  std::uint64_t refused() const;

  /// Open flows per target, and what plain hashing would have given.
  const imbalance &flowImbalance() const { return FlowImbalance; }
  const imbalance &plainImbalance() const { return PlainImbalance; }
  /// Largest mean slot use of a target over the mean of its service, since resetCounts; with plain
  /// hashing as comparison.
  double slotUseImbalance(std::uint32_t Service) const;
  double plainSlotUseImbalance(std::uint32_t Service) const;

  void packetAtTarget(std::uint32_t Target, service_id Vni,
                      std::span<const std::byte> Inner) override;
  void packetAtCaller(std::span<const std::byte> Inner) override;
  void flowTimer(std::uint32_t Flow) override;
  std::uint32_t targetIndex(target_id Target) const override { return TargetIndex.at(Target); }
  std::size_t targetDataCentre(std::uint32_t Target) const override {
    return Targets[Target].DataCentre;
  }
  const endpoint &targetTunnel(std::uint32_t Target) const override {
    return Targets[Target].Config.Tunnel;
  }
  probe_result probe(std::uint32_t Target) override;

private:
  // Callers.
  void openArrivingFlows();
  void openFlow(bool IsLongLived);
  void closeFlow(std::uint32_t Index);
  void replaceFlow(std::uint32_t Index);
  void breakFlow(std::uint32_t Index, std::uint64_t &Cause);
  void transmit(std::uint32_t Index, std::uint8_t Flags, std::uint16_t Payload);
  void sendPending(std::uint32_t Index);
  void sendRequest(std::uint32_t Index);
  void scheduleNextRequest(std::uint32_t Index);
  void retransmit(std::uint32_t Index);
  bool checkStall(std::uint32_t Index);
  bool canContinue(const fake_flow &Flow) const;
  void handleTargetAnswer(std::uint32_t Index, const fake_packet &Packet);
  void handleFlowEnd(std::uint32_t Index, bool Setup);
  void setTimer(std::uint32_t Index, duration Span);
  duration randomDuration(duration Mean);
  fake_packet makePacket(std::uint32_t Index) const;

  // Targets.
  void acceptSetup(std::uint32_t Target, std::uint32_t Index, const fake_packet &Packet);
  void reply(std::uint32_t Target, const fake_packet &To, std::uint8_t Flags,
             std::uint16_t Payload);
  void refuse(std::uint32_t Target, const fake_packet &Packet);
  void acceptRequest(std::uint32_t Target, const fake_packet &Packet);
  void serve(std::uint32_t Target, const fake_packet &Packet);
  void finish(std::uint32_t Target, const fake_packet &Packet);
  void releaseReservation(fake_flow &Flow);
  double slotUseRatio(std::uint32_t Service, double fake_target::*Amount) const;
  bool holdsFlow(std::uint32_t Target, const fake_packet &Packet) const;

  // Comparison with plain hashing, and samples.
  std::int32_t plainHashTarget(std::uint32_t Index) const;
  void updatePlainTargets();
  void sample();

  traffic_settings Settings;
  deployment Deployment;
  fabric_simulation *Simulation = nullptr;
  std::vector<fake_target> Targets;
  std::unordered_map<target_id, std::uint32_t> TargetIndex;
  std::vector<fake_flow> Flows;
  std::deque<std::uint32_t> FreeFlows;
  std::uint32_t OpenCount = 0;
  std::uint32_t LongToOpen = 0;
  bool CountOffers = true;
  double LongFlowsDue = 0.0;
  traffic_counts Counts;
  imbalance FlowImbalance;
  imbalance PlainImbalance;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_TRAFFIC_H
