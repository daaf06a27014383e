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

/// Simulated callers and targets. Checks each packet against the state of its flow at the caller
/// and the target.
class traffic final : public simulation_listener {
public:
  traffic(const traffic_settings &Settings, const deployment &Deployment);

  /// Starts to open flows. \p Simulation must outlive the object.
  void start(fabric_simulation &Simulation);
  /// Rate of new short-lived flows, per second.
  void setNewFlowsPerSecond(double Rate) { Settings.NewFlowsPerSecond = Rate; }
  double newFlowsPerSecond() const { return Settings.NewFlowsPerSecond; }

  const traffic_counts &counts() const { return Counts; }
  /// Clears the counts and the balance samples.
  void resetCounts();
  std::uint32_t openFlows() const { return OpenCount; }

  std::vector<fake_target> &targets() { return Targets; }
  const std::vector<fake_flow> &flows() const { return Flows; }
  /// Adds a target that isn't configured yet; returns its index.
  std::uint32_t addTarget(const std::string &ServiceName, std::uint32_t Service,
                          const target_config &Config);
  /// Stops a target for good. Its flows can't continue.
  void kill(std::uint32_t Target);
  /// Marks a target as leaving now. Flows that it accepts more than 3 s later are counted in
  /// traffic_counts::NewOnLeaving.
  void markLeaving(std::uint32_t Target);
  /// Marks a target as open to new flows, again or for the first time.
  void markActive(std::uint32_t Target);
  /// Lets targets lose the connections of up to \p Count open flows without a reset or other
  /// notice. Returns the number of flows affected.
  std::uint32_t makeSilent(std::uint32_t Count);
  /// Returns the number of silent flows that are still open more than 15 s after the silence
  /// criterion was met.
  std::uint32_t silentOverdue() const;
  /// Sets whether flows opened from now on count in Offered and Delivered.
  void countOffers(bool Count) { CountOffers = Count; }
  /// Returns the seconds of service time whose answers were sent to open flows, and the number of
  /// refused setups.
  double usefulSeconds(std::uint32_t Service) const;
  std::uint64_t refused() const;

  /// Imbalance of the open flows per target, and the imbalance under plain hashing.
  const imbalance &flowImbalance() const { return FlowImbalance; }
  const imbalance &plainImbalance() const { return PlainImbalance; }
  /// Largest slot use of a target divided by the mean of its service since resetCounts, and the
  /// same ratio under plain hashing.
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
  void handleFlowEnd(std::uint32_t Index, bool IsSetup);
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
  void sendAnswer(std::uint32_t Target, const fake_packet &Packet);
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
