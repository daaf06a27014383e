#ifndef BRIARPOINT_CORE_MEMBER_MEMBER_CONTROLLER_H
#define BRIARPOINT_CORE_MEMBER_MEMBER_CONTROLLER_H

#include "base/random_source.h"
#include "core/member/dissemination_queue.h"
#include "core/member/heartbeat_ring.h"
#include "core/member/member_entry.h"
#include "core/member/member_settings.h"
#include "core/member/member_suspicion.h"

#include <optional>
#include <set>
#include <span>

namespace briarpoint {

/// Membership as seen by this process: known, suspected and dead members. It sends no messages
/// itself; its owner obtains the receivers and the content of heartbeats from it.
class member_controller {
public:
  explicit member_controller(const member_settings &Settings);

  const member_info &self() const { return Self; }

  /// Changes the state that this process announces.
  void setState(member_state State);

  /// Drops suspicions and rejoins with a higher incarnation. Called after a pause of the process.
  void restart(instant Now);

  /// Applies a heartbeat, which proves that its sender is alive, and the updates that it carries.
  /// Returns true if the sender should get a heartbeat at once, because its entry here is dead or
  /// newer, or because this process raised its own incarnation.
  bool handleHeartbeat(const member_info &Sender, std::span<const member_info> MemberUpdates,
                       std::span<const member_suspicion> Suspicions, instant Now);

  /// Applies member entries that \p Sender relayed.
  void handleMembers(member_id Sender, std::span<const member_info> MemberUpdates, instant Now);

  /// Suspects silent members and declares suspected ones dead.
  void tick(instant Now);

  /// Members that receive this process's heartbeats.
  const std::vector<member_id> &receivers() const { return Receivers; }

  /// Members that this process accuses. They should get its accusation, so that they can refute it.
  std::vector<member_id> accusedBySelf() const;

  /// Returns the monitored members from which a heartbeat should be requested because one is
  /// overdue. Without requests, two lost messages in a row would cause a suspicion, which at 10%
  /// loss happens to each process several times a minute.
  std::vector<member_id> takeOverdueMembers(instant Now);

  /// Updates for one heartbeat that is sent to \p Copies receivers; at most \p Limit items.
  std::vector<member_info> takeUpdates(std::size_t Limit, std::uint32_t Copies);
  std::vector<member_suspicion> takeSuspicions(std::size_t Limit, std::uint32_t Copies,
                                               instant Now);

  /// Returns true once after a change that should be disseminated before the next regular
  /// heartbeat.
  bool takeUrgent();

  /// Digest of members that aren't dead, with incarnation and state.
  std::uint64_t digest() const;

  /// All entries for a full state, this process's own included.
  std::vector<member_info> fullState(instant Now) const;

  /// Returns a random dead member that had not announced its leave, to be contacted again; nothing
  /// if there is none.
  std::optional<member_info> pickLostMember(random_source &Random) const;

  /// Returns null for an unknown member and for this process.
  const member_entry *find(member_id Member) const;
  const std::map<member_id, member_entry> &others() const { return Entries; }

  /// True if \p Control belongs to this process or to a member that isn't dead.
  bool isKnownControl(const endpoint &Control) const;

  /// Members that aren't dead, this process included, ordered by id.
  std::vector<member_view> views() const;

  /// False while unreachableDataCentres() includes a data centre in scope.
  bool allReachable() const;

  /// Data centres other than this one of which at least half of the members can't be reached,
  /// whatever the scope.
  std::set<std::string> unreachableDataCentres() const;

  /// Incremented at each change of views() or allReachable().
  std::uint64_t generation() const { return Generation; }

private:
  void refute(std::uint64_t SuspectedIncarnation);
  void merge(member_id Sender, const member_info &Update, instant Now);
  void replace(member_entry &Entry, const member_info &Update, instant Now);
  void recordRefutation(member_entry &Entry, instant Now) const;
  void handleDeathReport(member_id Sender, member_entry &Entry, instant Now);
  void markDead(member_entry &Entry, instant Now);
  void accuse(member_id Sender, const member_suspicion &Suspicion, instant Now);
  void withdrawAccusations(member_id Accuser, std::span<const member_suspicion> Suspicions,
                           instant Now);
  std::size_t countAccusers(const member_entry &Entry, bool LocalOnly, instant Now) const;
  void accuseIfSilent(member_entry &Entry, instant Now);
  void evaluate(member_entry &Entry, instant Now);
  std::size_t quorum(const member_entry &Entry) const;
  std::size_t countLocalMonitors(const member_entry &Entry) const;
  bool isAlive(member_id Member) const;
  duration suspectAfter(const member_entry &Entry) const;
  void expectHeartbeat(member_entry &Entry, instant Now) const;
  void rebuildRing(instant Now);
  void removeExpired(instant Now);
  std::uint32_t copies() const { return disseminationCopies(Entries.size()); }

  member_settings Settings;
  member_info Self;
  std::map<member_id, member_entry> Entries;
  std::vector<member_id> Receivers;
  dissemination_queue<member_id> Updates;
  dissemination_queue<std::pair<member_id, member_id>> RelayedAccusations;
  /// When this process counts as isolated, because it has received no heartbeat from any member for
  /// SuspectAfter. From then on it cannot distinguish its own loss of reception from the failure of
  /// the others.
  instant IsolatedAt = Never;
  bool Urgent = false;
  bool RingChanged = true;
  std::uint64_t Generation = 1;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_MEMBER_MEMBER_CONTROLLER_H
