#include "core/control/join_progress.h"

namespace briarpoint {

namespace {

/// Minimum duration of a join, in which processes that start together discover each other.
constexpr duration MinJoinDuration = std::chrono::seconds(2);

} // namespace

void join_progress::begin(std::uint64_t Incarnation, instant Now, instant JoinDeadline) {
  FirstIncarnation = Incarnation;
  EarliestReadyAt = Now + MinJoinDuration;
  Deadline = JoinDeadline;
  AgreedWithReady = AgreedWithAny = false;
  Transferred.clear();
}

void join_progress::recordAgreement(const member_info &Peer) {
  AgreedWithAny = true;
  AgreedWithReady |= Peer.State == member_state::Ready;
}

void join_progress::recordTransferred(member_id Peer, std::uint64_t ReceiverIncarnation) {
  // A refutation raises the incarnation without losing records; only a start or a pause begins a
  // new join.
  if (ReceiverIncarnation >= FirstIncarnation)
    Transferred.insert(Peer);
}

bool join_progress::isComplete(const member_controller &Members, ownership_scope Scope,
                               bool HasConfiguration, bool Alone, instant Now) const {
  if (Now >= Deadline)
    return true;
  if (Now < EarliestReadyAt || !HasConfiguration)
    return false;
  bool ReadyPeers = false;
  for (const auto &[Id, Entry] : Members.others()) {
    if (Entry.Info.State != member_state::Ready || Entry.Suspected)
      continue;
    ReadyPeers = true;
    const bool HasRecords =
        Scope == ownership_scope::All || Entry.Info.DataCentre == Members.self().DataCentre;
    if (HasRecords && !Transferred.contains(Id))
      return false;
  }
  return ReadyPeers ? AgreedWithReady : AgreedWithAny || Alone;
}

} // namespace briarpoint
