#include "core/control/control_plane_state.h"

#include "core/target/prober_assignment.h"

#include <algorithm>

namespace briarpoint {

namespace {

member_settings memberSettings(const control_plane_settings &Settings) {
  member_settings Result;
  Result.Self = Settings.Self;
  Result.Self.State = member_state::Joining;
  Result.Scope = Settings.Scope;
  Result.HeartbeatInterval = Settings.HeartbeatInterval;
  Result.SuspectAfter = Settings.SuspectAfter;
  Result.DeadAfter = Settings.DeadAfter;
  Result.RingSuccessors = Settings.RingSuccessors;
  return Result;
}

target_settings targetSettings(const control_plane_settings &Settings) {
  target_settings Result;
  Result.Self = Settings.Self.Id;
  // Incarnations grow faster than the sequence of reports, so a restarted process begins above its
  // earlier sequence numbers.
  Result.FirstSequence = Settings.Self.Incarnation + 1;
  Result.ProbeInterval = Settings.ProbeInterval;
  Result.ProbersPerTarget = Settings.ProbersPerTarget;
  Result.ProbeFailures = Settings.ProbeFailures;
  Result.SlowStart = Settings.SlowStart;
  Result.MaxEjected = Settings.MaxEjected;
  return Result;
}

} // namespace

control_plane::state::state(const control_plane_settings &Settings, object_store &Store,
                            random_source &Random, control_plane_listener &Listener)
    : Settings(Settings), Random(Random), Listener(Listener), Members(memberSettings(Settings)),
      Targets(targetSettings(Settings), Random), Configs({}, Store, Random, *this),
      Platform(Store, Random), Views(Settings.Scope, Settings.Self.DataCentre) {}

void control_plane::state::configurationAdopted(
    const std::shared_ptr<const configuration> &Configuration) {
  Targets.applyConfiguration(*Configuration, Now);
  PublishNeeded = true;
  // Peers fetch it as soon as a heartbeat announces the version.
  UrgentPending = true;
}

void control_plane::state::fetchFromPeer(member_id From, const endpoint &Rpc,
                                         config_version Version) {
  Listener.fetchConfiguration(From, Rpc, Version);
}

void control_plane::state::startJoin(instant Time) {
  Join.begin(Members.self().Incarnation, Time, Time + Settings.JoinLimit);
  // A random offset keeps processes that start together from sending at the same time.
  const auto Interval = static_cast<std::uint64_t>(Settings.HeartbeatInterval.count());
  NextHeartbeatAt = Time + duration(static_cast<duration::rep>(Random.below(Interval)));
  UrgentPending = true;
}

void control_plane::state::rejoinAfterPause(instant Time) {
  if (LastTick == Never || Time - LastTick <= Settings.PauseLimit)
    return;
  LastTick = Time;
  ++Counters.Pauses;
  const bool WasLeaving = Members.self().State == member_state::Leaving;
  Listener.resetFlows();
  Members.restart(Time);
  if (WasLeaving)
    Members.setState(member_state::Leaving);
  FinishedTransfers.clear();
  startJoin(Time);
}

void control_plane::state::run(instant Time) {
  Now = Time;
  Platform.tick(Time);
  Configs.tick(Time);
  Members.tick(Time);
  applyMembers(Time);
  for (const due_probe &Probe : Targets.takeDueProbes(Time))
    Listener.probeTarget(Probe.Target, Probe.Health);
  Targets.tick(Time);
  joinIfComplete(Time);
  applyMembers(Time);
  discoverPeers(Time);
  runExchange(Time);
  repeatEndOfTransfer(Time);
  sendHeartbeats(Time);
  publish();
}

void control_plane::state::applyMembers(instant Time) {
  if (Members.generation() == MemberGeneration)
    return;
  MemberGeneration = Members.generation();
  const std::vector<member_view> Known = Members.views();
  Targets.applyMembers(Known, Time);
  Targets.setUnreachableDataCentres(Members.unreachableDataCentres());
  Configs.setWatching(isWatcher(Members.self().Id, Members.self().DataCentre, Known,
                                Settings.WatchersPerDataCentre));
  PublishNeeded = true;
}

void control_plane::state::publish() {
  if (!PublishNeeded && Targets.generation() == TargetGeneration)
    return;
  PublishNeeded = false;
  TargetGeneration = Targets.generation();
  std::shared_ptr<const forwarding_view> View =
      Views.build(*Configs.inForce(), Members.views(), Targets, Members.allReachable());
  if (View == nullptr)
    return;
  ++Counters.Views;
  Listener.publishView(std::move(View));
}

bool control_plane::state::isAlone() const {
  if (!InstancesKnown || !Members.others().empty())
    return false;
  const auto IsSelf = [&](const endpoint &Control) { return Control == Settings.Self.Control; };
  return std::all_of(Settings.Seeds.begin(), Settings.Seeds.end(), IsSelf) &&
         std::all_of(Instances.begin(), Instances.end(), IsSelf);
}

void control_plane::state::joinIfComplete(instant Time) {
  if (Members.self().State != member_state::Joining)
    return;
  if (Join.isComplete(Members, Settings.Scope, Configs.isCurrent(), isAlone(), Time))
    Members.setState(member_state::Ready);
}

bool control_plane::state::allTransfersFinished() const {
  for (const auto &[Id, Entry] : Members.others()) {
    const bool InScope = Settings.Scope == ownership_scope::All ||
                         Entry.Info.DataCentre == Members.self().DataCentre;
    if (InScope && Entry.Info.State == member_state::Ready && !Entry.Suspected &&
        !TransferredTo.contains(Id))
      return false;
  }
  return true;
}

void control_plane::state::handle(const endpoint &From, const heartbeat &Message, instant Time) {
  (void)From;
  if (Message.Sender.Id == Members.self().Id)
    return;
  const bool WasOutdated =
      Members.handleHeartbeat(Message.Sender, Message.Members, Message.Suspects, Time);
  Targets.handleStatuses(Message.Statuses, Time);
  Configs.handlePeerVersion(Message.Sender.Id, Message.Sender.Rpc, Message.Version);

  // Statuses can be compared only for the same targets.
  const bool SameVersion = Message.Version == Configs.inForce()->Version;
  const bool Equal = Message.MemberDigest == Members.digest() &&
                     (!SameVersion || Message.StatusDigest == Targets.digest());
  Exchange.recordDigests(Message.Sender.Id, Equal, Time);
  const member_entry *Sender = Members.find(Message.Sender.Id);
  if (Equal && SameVersion && Sender != nullptr)
    Join.recordAgreement(Sender->Info);
  if (Message.Sender.State == member_state::Joining && !Equal &&
      Exchange.tryAcquire(Message.Sender.Id, Time))
    sendFullState(Message.Sender, false, Time);
  if (WasOutdated || Message.WantsAnswer)
    sendReply(Message, Time);
}

void control_plane::state::handle(const endpoint &From, const full_state &Message, instant Time) {
  (void)From;
  if (Message.Sender == Members.self().Id)
    return;
  Members.handleMembers(Message.Sender, Message.Members, Time);
  Targets.handleStatuses(Message.Statuses, Time);
  const member_entry *Sender = Members.find(Message.Sender);
  if (Sender == nullptr)
    return;
  Configs.handlePeerVersion(Message.Sender, Sender->Info.Rpc, Message.Version);
  if (Message.WantsReply && Exchange.tryAcquire(Message.Sender, Time))
    sendFullState(Sender->Info, false, Time);
}

void control_plane::state::handle(const endpoint &From, const record_batch &Message, instant) {
  (void)From;
  if (!Message.Records.empty())
    Listener.storeRecords(Message.Records);
  if (Message.Last)
    Join.recordTransferred(Message.Sender, Message.ReceiverIncarnation);
}

} // namespace briarpoint
