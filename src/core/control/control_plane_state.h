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

/// The controllers of a control plane and what passes between them. Not for use by others.
struct control_plane::state final : config_listener {
  state(const control_plane_settings &Settings, object_store &Store, random_source &Random,
        control_plane_listener &Listener);

  // config_listener
  void configurationAdopted(const std::shared_ptr<const configuration> &Configuration) override;
  void fetchFromPeer(member_id From, const endpoint &Rpc, config_version Version) override;

  void begin(instant Now);
  void run(instant Now);
  /// Joins anew if the time since the last tick shows a pause.
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
  /// When the next heartbeat out of turn may be sent.
  instant NextUrgentAt{};
  bool UrgentPending = false;
  /// When lost members, seeds and the platform's list are tried again.
  instant NextLostMemberAt{};
  instant NextSeedAt{};
  instant NextInstancesAt{};
  bool InstancesKnown = false;
  std::vector<endpoint> Instances;
  /// When each peer may be answered out of turn again.
  std::map<member_id, instant> NextReplyAt;

  /// Joining members that have all records of this process, with their incarnation.
  std::map<member_id, std::uint64_t> FinishedTransfers;
  instant NextEndOfTransferAt{};

  /// Set by leave(): when the peers have had time to converge, when the end may come without
  /// their confirmation, and the deadline.
  instant EarliestExitAt = Never;
  instant UnconfirmedExitAt = Never;
  instant LatestExitAt = Never;
  instant RecordsQuietAt{};
  std::set<member_id> TransferredTo;

  std::uint64_t MemberGeneration = 0;
  std::uint64_t TargetGeneration = 0;
  bool PublishNeeded = true;
  control_plane_counters Counters;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_CONTROL_PLANE_STATE_H
