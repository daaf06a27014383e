#ifndef BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_STATE_H
#define BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_STATE_H

#include "core/control/control_plane.h"
#include "core/control/join_progress.h"
#include "core/control/state_exchange.h"
#include "core/control/view_builder.h"
#include "core/member/member_controller.h"
#include "core/sync/config_controller.h"
#include "core/target/target_controller.h"

#include <map>
#include <set>

namespace briarpoint {

/// Implementation of control_plane: the controllers and the data that passes between them. Internal
/// to control_plane.
struct control_plane::state final : config_listener {
  state(const control_plane_settings &Settings, object_store &Store, random_source &Random,
        control_plane_listener &Listener);

  // config_listener
  void configurationAdopted(const std::shared_ptr<const configuration> &Configuration) override;
  void fetchFromPeer(member_id From, const endpoint &Rpc, config_version Version) override;

  void startJoin(instant Now);
  void run(instant Now);
  /// Rejoins if the time since the last tick shows a pause.
  void rejoinAfterPause(instant Now);

  // Received messages.
  void handle(const endpoint &From, const heartbeat &Message, instant Now);
  void handle(const endpoint &From, const full_state &Message, instant Now);
  void handle(const endpoint &From, const record_batch &Message, instant Now);

  // Heartbeats.
  void sendHeartbeats(instant Now);
  void sendRound(instant Now);
  heartbeat makeHeartbeat() const;
  void addUpdates(heartbeat &Message, std::uint32_t Copies, instant Now);
  void sendReply(const heartbeat &Message, instant Now);
  void discoverPeers(instant Now);
  void refreshInstances();

  // Full states and transfers.
  void sendFullState(const member_info &To, bool WantsReply, instant Now);
  void runExchange(instant Now);
  void sendEndOfTransfer(const member_entry &To);
  void repeatEndOfTransfer(instant Now);

  // Progress.
  void joinIfComplete(instant Now);
  bool isAlone() const;
  bool allTransfersFinished() const;
  void applyMembers(instant Now);
  void publish();

  control_plane_settings Settings;
  random_source &Random;
  control_plane_listener &Listener;
  member_controller Members;
  target_controller Targets;
  config_controller Configs;
  store_client Platform;
  view_builder Views;
  state_exchange Exchange;
  join_progress Join;

  instant Now{};
  instant LastTick = Never;
  instant NextHeartbeatAt{};
  /// Earliest time of the next heartbeat outside the regular schedule.
  instant NextUrgentAt{};
  bool UrgentPending = false;
  /// When a lost member and seeds are contacted and the platform's list of instances is read again.
  instant NextLostMemberAt{};
  instant NextSeedAt{};
  instant NextInstancesAt{};
  bool InstancesKnown = false;
  std::vector<endpoint> Instances;
  /// Earliest time of the next reply to each peer.
  std::map<member_id, instant> NextReplyAt;

  /// Joining members to which all records of this process were sent, with their incarnation.
  std::map<member_id, std::uint64_t> FinishedTransfers;
  instant NextEndOfTransferAt{};

  /// Set by leave(): the earliest exit, the exit without all transfers finished, and the deadline.
  instant EarliestExitAt = Never;
  instant UnconfirmedExitAt = Never;
  instant LatestExitAt = Never;
  /// When no records will have been sent for RecordsQuietPeriod.
  instant RecordsQuietAt{};
  /// Members to which all records were sent; emptied by leave().
  std::set<member_id> TransferredTo;

  std::uint64_t MemberGeneration = 0;
  std::uint64_t TargetGeneration = 0;
  bool PublishNeeded = true;
  control_plane_counters Counters;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_STATE_H
