#include "core/member/member_controller.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// How long an accusation by another member counts.
constexpr duration AccusationLifetime = std::chrono::seconds(3);
/// How long a report counts that a member is dead. Reports come with full states, which are rare,
/// and two reports must count at the same time.
constexpr duration DeathReportLifetime = std::chrono::seconds(20);
/// How long an expired accusation is kept, so that its late copies are ignored.
constexpr duration AccusationRetention = std::chrono::seconds(30);
/// Additional delay until a process that receives no heartbeats at all declares others dead: it may
/// have lost its own reception, and would otherwise take over all flows.
constexpr duration IsolatedRemovalDelay = std::chrono::seconds(10);
/// How long a damped member stays suspected after a refutation that arrived through other members.
/// Longer than the time until its next suspicion: two data centres that reach each other only
/// through a third would otherwise suspect and clear each other in turn.
constexpr duration ReinstatementDelay = std::chrono::seconds(12);
/// Accusers that are needed to suspect a member that isn't damped.
constexpr std::size_t DefaultQuorum = 2;

} // namespace

member_controller::member_controller(const member_settings &Settings)
    : Settings(Settings), Self(Settings.Self) {
  Updates.add(Self.Id, copies());
}

void member_controller::setState(member_state State) {
  if (Self.State == State)
    return;
  Self.State = State;
  Updates.add(Self.Id, copies());
  Urgent = true;
  RingChanged = true;
  ++Generation;
}

void member_controller::restart(instant Now) {
  ++Self.Incarnation;
  Self.State = member_state::Joining;
  Updates.add(Self.Id, copies());
  IsolatedAt = Now + Settings.SuspectAfter;
  for (auto &[Id, Entry] : Entries) {
    Entry.Accusers.erase(Self.Id);
    expectHeartbeat(Entry, Now);
    if (Entry.isDead())
      continue;
    Entry.Suspected = false;
    Entry.DeadAt = Never;
  }
  Urgent = true;
  RingChanged = true;
  ++Generation;
}

void member_controller::refute(std::uint64_t SuspectedIncarnation) {
  if (SuspectedIncarnation < Self.Incarnation)
    return;
  Self.Incarnation = SuspectedIncarnation + 1;
  Updates.add(Self.Id, copies());
  Urgent = true;
}

bool member_controller::handleHeartbeat(const member_info &Sender,
                                        std::span<const member_info> MemberUpdates,
                                        std::span<const member_suspicion> Suspicions, instant Now) {
  if (Sender.Id == Self.Id)
    return false;
  IsolatedAt = Now + Settings.SuspectAfter;

  // A heartbeat is first-hand evidence about its sender and needs no confirmation by others. A
  // sender whose entry is in state Dead must raise its incarnation first.
  merge(Sender.Id, Sender, Now);
  member_entry &Entry = Entries.at(Sender.Id);
  const bool Current = Entry.Info.Incarnation == Sender.Incarnation;
  const bool Outdated = !Current || (Entry.isDead() && Sender.State != member_state::Dead);
  if (!Outdated) {
    Entry.HeartbeatReceived = true;
    Entry.SuspectedUntil = instant::min();
    expectHeartbeat(Entry, Now);
    Entry.Accusers.erase(Self.Id);
    evaluate(Entry, Now);
  }

  const std::uint64_t Before = Self.Incarnation;
  handleMembers(Sender.Id, MemberUpdates, Now);
  withdrawAccusations(Sender.Id, Suspicions, Now);
  for (const member_suspicion &Suspicion : Suspicions)
    accuse(Sender.Id, Suspicion, Now);
  return Outdated || Self.Incarnation != Before;
}

void member_controller::handleMembers(member_id Sender, std::span<const member_info> MemberUpdates,
                                      instant Now) {
  for (const member_info &Update : MemberUpdates)
    merge(Sender, Update, Now);
}

void member_controller::merge(member_id Sender, const member_info &Update, instant Now) {
  if (Update.Id == Self.Id) {
    // An outdated or wrong entry of this process circulates; refute it with a higher incarnation.
    if (Update.State == member_state::Dead || Update.Incarnation > Self.Incarnation)
      refute(Update.Incarnation);
    return;
  }
  const auto Found = Entries.find(Update.Id);
  if (Found == Entries.end()) {
    replace(Entries[Update.Id], Update, Now);
    return;
  }
  member_entry &Entry = Found->second;
  if (Update.Incarnation < Entry.Info.Incarnation ||
      (Update.Incarnation == Entry.Info.Incarnation && Update.State <= Entry.Info.State))
    return;
  if (Update.State == member_state::Dead)
    handleDeathReport(Sender, Entry, Now);
  else
    replace(Entry, Update, Now);
}

void member_controller::replace(member_entry &Entry, const member_info &Update, instant Now) {
  const bool Newer = Update.Incarnation > Entry.Info.Incarnation;
  const bool Refuted =
      Newer && (Entry.Suspected || Entry.isDead()) && Update.State != member_state::Joining;
  if (Refuted)
    recordRefutation(Entry, Now);
  const bool MovesInRing = Entry.Info.Id == NoMember || Entry.isDead() ||
                           Update.State == member_state::Dead ||
                           Entry.Info.DataCentre != Update.DataCentre;
  Entry.Info = Update;
  RingChanged |= MovesInRing;
  ++Generation;
  if (Update.State == member_state::Dead) {
    markDead(Entry, Now);
    return;
  }
  Entry.Left = Update.State == member_state::Leaving;
  if (Newer) {
    Entry.HeartbeatReceived = false;
    expectHeartbeat(Entry, Now);
    Entry.Accusers.clear();
    Entry.DeathReports.clear();
    // A restarted process refutes nothing, so its suspicion ends at once.
    Entry.Suspected = Refuted && Now < Entry.SuspectedUntil;
    Entry.DeadAt = Entry.DisseminateUntil = Entry.RemoveAt = Never;
  }
  Updates.add(Update.Id, copies());
  Urgent = true;
}

void member_controller::recordRefutation(member_entry &Entry, instant Now) const {
  ++Entry.Refutations;
  Entry.RefutationsExpireAt = Now + Settings.DampingWindow;
  if (Entry.isDamped())
    Entry.SuspectedUntil = Now + ReinstatementDelay;
}

void member_controller::handleDeathReport(member_id Sender, member_entry &Entry, instant Now) {
  // A reported death of a member that is suspected or leaving is accepted at once. Otherwise the
  // report counts as one accusation, so that a single process that receives nothing can't remove
  // the others.
  const bool Accused = Entry.Suspected && Entry.DeadAt != Never;
  if (Accused || Entry.Info.State == member_state::Leaving)
    markDead(Entry, Now);
  else
    Entry.DeathReports[Sender] = Now + DeathReportLifetime;
}

void member_controller::markDead(member_entry &Entry, instant Now) {
  Entry.Info.State = member_state::Dead;
  Entry.Suspected = false;
  Entry.Accusers.clear();
  Entry.DeathReports.clear();
  Entry.DeadAt = Never;
  Entry.DisseminateUntil = Now + Settings.DeathDisseminationPeriod;
  Entry.RemoveAt = Now + Settings.DeadMemberRetention;
  Updates.add(Entry.Info.Id, copies());
  Urgent = true;
  RingChanged = true;
  ++Generation;
}

void member_controller::accuse(member_id Sender, const member_suspicion &Suspicion, instant Now) {
  if (Suspicion.Member == Self.Id) {
    refute(Suspicion.Incarnation);
    return;
  }
  const auto Found = Entries.find(Suspicion.Member);
  if (Found == Entries.end() || Suspicion.Accuser == Self.Id)
    return;
  member_entry &Entry = Found->second;
  if (Entry.isDead() || Entry.Info.Incarnation != Suspicion.Incarnation)
    return;
  const auto [Accuser, IsNew] = Entry.Accusers.try_emplace(Suspicion.Accuser, instant::min());
  const bool FirstHand = Suspicion.Accuser == Sender;
  if (!IsNew && !FirstHand)
    return;
  Accuser->second = Now + AccusationLifetime;
  if (IsNew) {
    RelayedAccusations.add({Suspicion.Member, Suspicion.Accuser}, copies());
    Urgent = true;
  }
}

void member_controller::withdrawAccusations(member_id Accuser,
                                            std::span<const member_suspicion> Suspicions,
                                            instant Now) {
  for (auto &[Id, Entry] : Entries) {
    const auto Found = Entry.Accusers.find(Accuser);
    if (Found == Entry.Accusers.end())
      continue;
    const bool Repeated = std::any_of(
        Suspicions.begin(), Suspicions.end(), [&, Member = Id](const member_suspicion &Suspicion) {
          return Suspicion.Member == Member && Suspicion.Accuser == Accuser;
        });
    if (!Repeated)
      Found->second = std::min(Found->second, Now);
  }
}

duration member_controller::suspectAfter(const member_entry &Entry) const {
  // A member that refuted often is suspected later, at most after twice the time.
  const std::uint32_t Steps = Entry.isDamped() ? std::min(Entry.Refutations - 1, 2U) : 0;
  return Settings.SuspectAfter + Settings.SuspectAfter * Steps / 2;
}

void member_controller::expectHeartbeat(member_entry &Entry, instant Now) const {
  Entry.SuspectAt = Now + suspectAfter(Entry);
  Entry.QueryAt = Now + Settings.SuspectAfter / 2;
}

std::vector<member_id> member_controller::takeOverdueMembers(instant Now) {
  std::vector<member_id> Overdue;
  for (auto &[Id, Entry] : Entries) {
    if (!Entry.Monitored || Entry.isDead() || Now < Entry.QueryAt)
      continue;
    Entry.QueryAt = Now + Settings.SuspectAfter / 6;
    Overdue.push_back(Id);
  }
  return Overdue;
}

void member_controller::tick(instant Now) {
  if (IsolatedAt == Never)
    IsolatedAt = Now + Settings.SuspectAfter;
  if (RingChanged)
    rebuildRing(Now);
  for (auto &[Id, Entry] : Entries) {
    if (Now >= Entry.RefutationsExpireAt) {
      Entry.Refutations = 0;
      Entry.RefutationsExpireAt = Never;
    }
    if (Entry.isDead())
      continue;
    accuseIfSilent(Entry, Now);
    evaluate(Entry, Now);
  }
  removeExpired(Now);
  if (RingChanged)
    rebuildRing(Now);
}

void member_controller::accuseIfSilent(member_entry &Entry, instant Now) {
  if (!Entry.Monitored || Now < Entry.SuspectAt)
    return;
  // An accusation by this process doesn't expire; the next heartbeat or incarnation of the member
  // ends it.
  if (Entry.Accusers.insert_or_assign(Self.Id, Never).second)
    Urgent = true;
}

std::size_t member_controller::quorum(const member_entry &Entry) const {
  std::size_t Monitors = 0;
  for (const member_id Monitor : Entry.Monitors)
    Monitors += isAlive(Monitor) ? 1 : 0;
  const std::size_t Needed = Entry.isDamped() ? Monitors / 2 + 1 : DefaultQuorum;
  return std::max<std::size_t>(1, std::min(Needed, Monitors));
}

std::size_t member_controller::countLocalMonitors(const member_entry &Entry) const {
  std::size_t Count = 0;
  for (const member_id Monitor : Entry.Monitors) {
    const member_entry *Other = find(Monitor);
    const bool Local = Other == nullptr || Other->Info.DataCentre == Self.DataCentre;
    Count += Local && isAlive(Monitor) ? 1 : 0;
  }
  return Count;
}

bool member_controller::isAlive(member_id Member) const {
  if (Member == Self.Id)
    return true;
  const member_entry *Entry = find(Member);
  return Entry != nullptr && !Entry->isDead() && !Entry->Suspected;
}

std::size_t member_controller::countAccusers(const member_entry &Entry, bool LocalOnly,
                                             instant Now) const {
  const auto IsLocal = [&](member_id Accuser) {
    const member_entry *Other = find(Accuser);
    return Other == nullptr || Other->Info.DataCentre == Self.DataCentre;
  };
  std::size_t Count = 0;
  for (const auto &[Accuser, Until] : Entry.Accusers)
    Count += Now < Until && (!LocalOnly || IsLocal(Accuser)) ? 1 : 0;
  for (const auto &[Reporter, Until] : Entry.DeathReports) {
    const auto Accuser = Entry.Accusers.find(Reporter);
    const bool Counted = Accuser != Entry.Accusers.end() && Now < Accuser->second;
    Count += Now < Until && !Counted && (!LocalOnly || IsLocal(Reporter)) ? 1 : 0;
  }
  return Count;
}

void member_controller::evaluate(member_entry &Entry, instant Now) {
  // Skip the common case; counting monitors for it would take half of the time of a tick.
  if (!Entry.Suspected && Entry.Accusers.empty() && Entry.DeathReports.empty())
    return;
  const std::size_t Accusers = countAccusers(Entry, false, Now);
  const std::size_t LocalAccusers = countAccusers(Entry, true, Now);
  std::erase_if(Entry.Accusers, [&](const auto &Accuser) {
    return Accuser.second != Never && Now >= Accuser.second + AccusationRetention;
  });

  // Heartbeats that this process receives from the member outweigh accusations by others.
  const bool HeartbeatIsRecent =
      Entry.Monitored && Entry.HeartbeatReceived && Now < Entry.SuspectAt;
  const bool AccusedBySelf = Entry.Accusers.contains(Self.Id);
  const bool HasQuorum = Accusers >= quorum(Entry);
  // Monitors in this data centre determine what is reachable from here. Monitors in other data
  // centres count only if there are too few local ones.
  const bool AccusedByPeers = countLocalMonitors(Entry) >= DefaultQuorum
                                  ? LocalAccusers >= DefaultQuorum
                                  : Accusers > 0 && HasQuorum;
  const bool Accused = AccusedBySelf || AccusedByPeers;
  if (Accused && Entry.isDamped())
    Entry.SuspectedUntil = Now + ReinstatementDelay;
  const bool Suspected = !HeartbeatIsRecent && (Accused || Now < Entry.SuspectedUntil);
  if (Suspected != Entry.Suspected) {
    Entry.Suspected = Suspected;
    ++Generation;
  }
  if (!Suspected || !Accused)
    Entry.DeadAt = Never;
  else if (Entry.DeadAt == Never)
    Entry.DeadAt = Now + Settings.DeadAfter;
  const duration RemovalDelay = Now >= IsolatedAt ? IsolatedRemovalDelay : duration::zero();
  if (Suspected && Accused && HasQuorum && Now >= Entry.DeadAt &&
      Now - Entry.DeadAt >= RemovalDelay)
    markDead(Entry, Now);
}

void member_controller::rebuildRing(instant Now) {
  RingChanged = false;
  heartbeat_ring Ring(Settings.Scope, Settings.RingSuccessors);
  Ring.add(Self.Id, Self.DataCentre);
  for (const auto &[Id, Entry] : Entries)
    if (!Entry.isDead())
      Ring.add(Id, Entry.Info.DataCentre);
  Receivers = Ring.receiversOf(Self.Id, Self.DataCentre);
  for (auto &[Id, Entry] : Entries) {
    if (Entry.isDead())
      continue;
    Entry.Monitors = Ring.receiversOf(Id, Entry.Info.DataCentre);
    const bool Monitored =
        std::find(Entry.Monitors.begin(), Entry.Monitors.end(), Self.Id) != Entry.Monitors.end();
    // The member may not have computed this ring yet, so its first heartbeat may come later.
    if (Monitored && !Entry.Monitored)
      expectHeartbeat(Entry, Now);
    if (!Monitored)
      Entry.Accusers.erase(Self.Id);
    Entry.Monitored = Monitored;
  }
}

void member_controller::removeExpired(instant Now) {
  if (std::erase_if(Entries, [&](const auto &Item) { return Now >= Item.second.RemoveAt; }) > 0)
    ++Generation;
}

} // namespace briarpoint
