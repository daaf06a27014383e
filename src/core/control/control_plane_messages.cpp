// Messages that a control plane sends, and their schedule.
#include "core/control/control_plane_state.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Minimum interval between heartbeats outside the regular schedule.
constexpr duration MinUrgentInterval = std::chrono::milliseconds(200);
/// Minimum interval between replies to one peer.
constexpr duration MinReplyInterval = std::chrono::milliseconds(300);
/// Interval at which a lost member is contacted.
constexpr duration LostMemberInterval = std::chrono::seconds(2);
/// Interval at which a seed that isn't a member is contacted, and the same for a process without
/// receivers.
constexpr duration SeedInterval = std::chrono::seconds(10);
constexpr duration IsolatedSeedInterval = std::chrono::seconds(1);
/// Interval at which a process without receivers reads the platform's list of instances.
constexpr duration InstancesInterval = std::chrono::seconds(5);
/// Interval at which the end of a transfer is announced again.
constexpr duration EndOfTransferInterval = std::chrono::seconds(1);
/// Bytes of updates in a heartbeat, and the bytes that one item counts for.
constexpr std::size_t MaxUpdateBytes = 900;
constexpr std::size_t SuspicionBytes = 24;
constexpr std::size_t MemberBytes = 120;
constexpr std::size_t StatusBytes = 30;
constexpr std::size_t MaxSuspicions = 20;
constexpr std::size_t MaxMembers = 5;

} // namespace

void control_plane::state::sendHeartbeats(instant Time) {
  const std::vector<member_id> Overdue = Members.takeOverdueMembers(Time);
  if (!Overdue.empty()) {
    heartbeat Query = makeHeartbeat();
    Query.WantsAnswer = true;
    const peer_message Sent = std::move(Query);
    for (const member_id Id : Overdue)
      Listener.sendMessage(Members.find(Id)->Info.Control, Sent);
  }
  UrgentPending |= Members.takeUrgent();
  UrgentPending |= Targets.takeUrgent();
  const bool Regular = Time >= NextHeartbeatAt;
  if (!Regular && !(UrgentPending && Time >= NextUrgentAt))
    return;
  if (Regular)
    NextHeartbeatAt = std::max(NextHeartbeatAt + Settings.HeartbeatInterval,
                               Time + Settings.HeartbeatInterval / 2);
  UrgentPending = false;
  NextUrgentAt = Time + MinUrgentInterval;
  sendRound(Time);
}

void control_plane::state::sendRound(instant Time) {
  // Members that this process suspects get the heartbeat too, so that they can refute the
  // suspicion.
  std::vector<member_id> To = Members.receivers();
  for (const member_id Suspect : Members.accusedBySelf())
    if (std::find(To.begin(), To.end(), Suspect) == To.end())
      To.push_back(Suspect);
  if (To.empty())
    return;
  heartbeat Message = makeHeartbeat();
  addUpdates(Message, static_cast<std::uint32_t>(To.size()), Time);
  const peer_message Sent = std::move(Message);
  for (const member_id Id : To)
    Listener.sendMessage(Members.find(Id)->Info.Control, Sent);
}

heartbeat control_plane::state::makeHeartbeat() const {
  heartbeat Message;
  Message.Sender = Members.self();
  Message.Version = Configs.inForce()->Version;
  Message.MemberDigest = Members.digest();
  Message.StatusDigest = Targets.digest();
  return Message;
}

void control_plane::state::addUpdates(heartbeat &Message, std::uint32_t Copies, instant Time) {
  // Suspicions are the most urgent, then members; statuses use the remaining space.
  Message.Suspects = Members.takeSuspicions(MaxSuspicions, Copies, Time);
  std::size_t BytesLeft = MaxUpdateBytes - Message.Suspects.size() * SuspicionBytes;
  Message.Members = Members.takeUpdates(std::min(MaxMembers, BytesLeft / MemberBytes), Copies);
  BytesLeft -= Message.Members.size() * MemberBytes;
  Message.Statuses = Targets.takeUpdates(BytesLeft / StatusBytes, Copies);
}

void control_plane::state::sendReply(const heartbeat &Received, instant Time) {
  std::erase_if(NextReplyAt, [&](const auto &Item) { return Time >= Item.second; });
  const member_id Peer = Received.Sender.Id;
  if (!NextReplyAt.try_emplace(Peer, Time + MinReplyInterval).second)
    return;
  heartbeat Message = makeHeartbeat();
  // The local entry of the peer, so that the peer can refute it.
  if (const member_entry *Entry = Members.find(Peer))
    Message.Members.push_back(Entry->Info);
  Listener.sendMessage(Received.Sender.Control, Message);
}

void control_plane::state::discoverPeers(instant Time) {
  // A member that was declared dead may be behind a partition that has ended.
  if (Time >= NextLostMemberAt) {
    NextLostMemberAt = Time + LostMemberInterval;
    if (const std::optional<member_info> Lost = Members.pickLostMember(Random))
      Listener.sendMessage(Lost->Control, makeHeartbeat());
  }
  const bool Alone = Members.receivers().empty();
  if (Time >= NextSeedAt) {
    NextSeedAt = Time + (Alone ? IsolatedSeedInterval : SeedInterval);
    std::vector<endpoint> Unknown;
    for (const std::vector<endpoint> *List : {&Settings.Seeds, &Instances})
      for (const endpoint &Seed : *List)
        if (!Members.isKnownControl(Seed))
          Unknown.push_back(Seed);
    // A process without receivers contacts all endpoints; otherwise one at a time is enough.
    if (!Alone && !Unknown.empty())
      Unknown = {Unknown[Random.below(Unknown.size())]};
    for (const endpoint &Seed : Unknown)
      Listener.sendMessage(Seed, makeHeartbeat());
  }
  if (Alone && Time >= NextInstancesAt) {
    NextInstancesAt = Time + InstancesInterval;
    refreshInstances();
  }
}

void control_plane::state::refreshInstances() {
  Platform.listInstances([this](object_status Status, const std::vector<instance_entry> &List) {
    InstancesKnown = true;
    if (Status != object_status::Ok)
      return;
    Instances.clear();
    for (const instance_entry &Instance : List) {
      const std::optional<endpoint> Control = parseEndpoint(Instance.Control);
      if (Control && !Instance.Leaving)
        Instances.push_back(*Control);
    }
  });
}

void control_plane::state::sendFullState(const member_info &To, bool WantsReply, instant Time) {
  full_state All;
  All.Sender = Members.self().Id;
  All.Version = Configs.inForce()->Version;
  All.WantsReply = WantsReply;
  All.Members = Members.fullState(Time);
  All.Statuses = Targets.fullState();
  for (full_state &Message : splitFullState(All)) {
    ++Counters.FullStates;
    Listener.sendMessage(To.Control, std::move(Message));
  }
}

void control_plane::state::runExchange(instant Time) {
  const std::optional<member_id> Peer = Exchange.takeDue(Time);
  if (!Peer)
    return;
  const member_entry *Entry = Members.find(*Peer);
  if (Entry != nullptr && !Entry->isDead() && Exchange.tryAcquire(*Peer, Time))
    sendFullState(Entry->Info, true, Time);
}

void control_plane::state::sendEndOfTransfer(const member_entry &To) {
  record_batch Batch;
  Batch.Sender = Members.self().Id;
  Batch.Last = true;
  Batch.ReceiverIncarnation = FinishedTransfers.at(To.Info.Id);
  Listener.sendMessage(To.Info.Control, Batch);
}

void control_plane::state::repeatEndOfTransfer(instant Time) {
  if (Time < NextEndOfTransferAt)
    return;
  NextEndOfTransferAt = Time + EndOfTransferInterval;
  // The end marker may be lost, and the receiver waits for it.
  for (auto Item = FinishedTransfers.begin(); Item != FinishedTransfers.end();) {
    const member_entry *Entry = Members.find(Item->first);
    if (Entry == nullptr || Entry->Info.State != member_state::Joining) {
      Item = FinishedTransfers.erase(Item);
      continue;
    }
    sendEndOfTransfer(*Entry);
    ++Item;
  }
}

} // namespace briarpoint
