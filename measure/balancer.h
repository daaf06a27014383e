#ifndef BRIARPOINT_MEASURE_BALANCER_H
#define BRIARPOINT_MEASURE_BALANCER_H

#include "core/control/control_plane.h"
#include "core/data/data_plane.h"
#include "measure/fabric_simulation.h"

namespace briarpoint::measure {

/// One balancer process: the real data plane and control plane on the network of a
/// fabric_simulation.
class balancer final : public data_plane_listener, public control_plane_listener {
public:
  balancer(fabric_simulation &Fabric, std::size_t Index, const control_plane_settings &Settings);
  ~balancer() override { *Alive = false; }

  data_plane &data() { return Data; }
  control_plane &control() { return Control; }
  const member_info &self() const { return Self; }
  /// Highest configuration version that was in force, and whether the version in force ever
  /// decreased.
  config_version highestVersion() const { return HighestVersion; }
  bool versionFell() const { return VersionFell; }

  void tick();
  bool Paused = false;
  bool Leaving = false;

  void sendToTarget(const target_view &Target, std::span<const std::byte> Inner) override;
  void sendToCaller(std::span<const std::byte> Inner) override;
  void sendToBalancer(const member_view &Member, const handover &Handover,
                      std::span<const std::byte> Inner) override;
  void sendRecords(member_id To, std::span<const flow_record> Records) override;
  void sendTransferFinished(member_id To) override;
  void reportObservations(std::span<const target_observation> Observations) override;

  void sendMessage(const endpoint &To, const peer_message &Message) override;
  void publishView(std::shared_ptr<const forwarding_view> View) override;
  void probeTarget(target_id Target, const endpoint &Health) override;
  void fetchConfiguration(member_id From, const endpoint &Rpc, config_version Version) override;
  void storeRecords(std::span<const flow_record> Records) override;
  void resetFlows() override;

  /// View in use by the data plane; null before the first one.
  const forwarding_view *view() const { return View.get(); }

private:
  /// Runs \p Closure after \p Delay unless this process has ended by then.
  void scheduleAfter(duration Delay, std::function<void()> Closure);

  fabric_simulation &Fabric;
  std::size_t Index;
  member_info Self;
  std::shared_ptr<bool> Alive;
  platform_client Store;
  seeded_random Random;
  data_plane Data;
  control_plane Control;
  std::shared_ptr<const forwarding_view> View;
  std::uint64_t ViewsPublished = 0;
  instant LastViewDueAt{};
  config_version HighestVersion = 0;
  bool VersionFell = false;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_BALANCER_H
