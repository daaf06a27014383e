#include "core/data/record_transfer.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Approximate size of a record in a message, and records per message. A message stays below 1,200
/// bytes.
constexpr std::uint32_t RecordBytes = 56;
constexpr std::size_t RecordsPerBatch = 20;
/// Maximum number of entries that one tick visits for one member; bounds the duration of a tick.
constexpr std::uint32_t MaxScannedEntries = 16384;
constexpr duration AnnounceInterval = std::chrono::seconds(5);

} // namespace

void record_transfer::applyView(const forwarding_view &View) {
  if (AppliedChangeCount == Slots.changeCount())
    return;
  AppliedChangeCount = Slots.changeCount();
  updateJobs(View);
  for (std::uint32_t I = 0; I < OwnershipSlotCount; ++I)
    updateSlot(I, View);
}

void record_transfer::updateJobs(const forwarding_view &View) {
  std::erase_if(Jobs, [&](const auto &Job) {
    const member_view *Member = View.findMember(Job.first);
    return Member == nullptr || Member->State == member_state::Dead ||
           Member->State == member_state::Leaving;
  });
  const member_view *Own = View.findMember(Self);
  const bool Joined = Own != nullptr && Own->State != member_state::Joining;
  for (const member_view &Member : View.members()) {
    const bool Joining = Member.State == member_state::Joining && Joined;
    if (Member.Id == Self || (!Joining && !Jobs.contains(Member.Id)))
      continue;
    job &Job = Jobs[Member.Id];
    // A member that joins again has none of the records that were sent before.
    if (Joining && !Job.Joining)
      Job = {};
    Job.Joining = Joining;
  }
}

void record_transfer::updateSlot(std::uint32_t Slot, const forwarding_view &View) {
  const slot_state &State = Slots.slot(Slot);
  for (auto &[Member, Job] : Jobs) {
    if (contains(State.Owners, Member) || contains(State.Joining, Member))
      continue;
    Job.Current.reset(Slot);
    Job.Waiting.reset(Slot);
    Job.Sent.reset(Slot);
  }
  const auto Require = [&](member_id Member) {
    job &Job = Jobs[Member];
    if (!Job.Current[Slot] && !Job.Sent[Slot])
      Job.Waiting.set(Slot);
  };

  // Members that will own the slot receive the records from its first owner.
  for (const member_id Member : State.Joining) {
    if (Member != NoMember && Member != Self && Slots.route(Slot).SelfFirst)
      Require(Member);
  }
  // Members that have become owners receive the records from the balancer for which isSender holds.
  const owner_list Former = PreviousOwners[Slot];
  PreviousOwners[Slot] = State.Owners;
  if (Former == State.Owners || !isSender(Former, State.Owners, View))
    return;
  for (const member_id Member : State.Owners) {
    if (Member != NoMember && Member != Self && !contains(Former, Member))
      Require(Member);
  }
}

bool record_transfer::isSender(const owner_list &Former, const owner_list &Owners,
                               const forwarding_view &View) const {
  // The sender is the first owner that was an owner before; if there is none, the first former
  // owner that is still a member.
  for (const member_id Member : Owners) {
    if (Member != NoMember && contains(Former, Member))
      return Member == Self;
  }
  for (const member_id Member : Former) {
    if (Member != NoMember && View.findMember(Member) != nullptr)
      return Member == Self;
  }
  return false;
}

bool record_transfer::isNeeded(const flow_entry &Entry, const job &Job) const {
  if (!Job.Current[ownership_table::slotOf(Entry.Id)])
    return false;
  // With the current epoch, a packet has carried the record to the slot's owners already.
  return Entry.SlotEpoch != Slots.routeOf(Entry.Id).Epoch;
}

void record_transfer::tick(instant Now) {
  if (LastTick == instant::min())
    LastTick = Now;
  const double Seconds = std::chrono::duration<double>(Now - LastTick).count();
  LastTick = Now;
  const double Limit =
      std::max<double>(Settings.TransferBytesPerSecond, RecordsPerBatch * RecordBytes);
  Budget = std::min(Limit, Budget + Seconds * Settings.TransferBytesPerSecond);

  // Round robin, beginning after the member that was sent to last.
  auto Job = Jobs.upper_bound(LastServed);
  for (std::size_t I = 0; I < Jobs.size(); ++I) {
    if (Job == Jobs.end())
      Job = Jobs.begin();
    runJob(Job->first, Job->second, Now);
    ++Job;
  }
}

void record_transfer::runJob(member_id To, job &Job, instant Now) {
  if (Job.Current.none() && Job.Waiting.any()) {
    std::swap(Job.Current, Job.Waiting);
    Job.NextIndex = 0;
  }
  if (Job.Current.none()) {
    if (Job.Joining && Now >= Job.AnnounceAt) {
      Job.AnnounceAt = Now + AnnounceInterval;
      Output.listener().sendTransferFinished(To);
    }
    return;
  }
  if (Budget < RecordsPerBatch * RecordBytes)
    return;

  // Collect one batch.
  Batch.clear();
  const flow_table &Table = Store.table();
  const std::uint32_t End = Table.indexEnd();
  const std::uint32_t Last = std::min(End, Job.NextIndex + MaxScannedEntries);
  while (Job.NextIndex < Last && Batch.size() < RecordsPerBatch) {
    const flow_entry *Entry = Table.at(Job.NextIndex++);
    if (Entry != nullptr && !Entry->Expires.isDue(Now) && isNeeded(*Entry, Job))
      Batch.push_back(Store.toRecord(*Entry, Now));
  }
  send(To);
  if (Job.NextIndex >= End)
    finishPass(Job);
}

void record_transfer::send(member_id To) {
  if (Batch.empty())
    return;
  LastServed = To;
  Budget -= static_cast<double>(Batch.size() * RecordBytes);
  Output.counters().RecordsTransferred += Batch.size();
  Output.listener().sendRecords(To, Batch);
}

void record_transfer::finishPass(job &Job) {
  Job.Sent |= Job.Current;
  Job.Current.reset();
}

void record_transfer::clear() {
  for (auto &[Member, Job] : Jobs) {
    Job.Current.reset();
    Job.Waiting.reset();
  }
}

} // namespace briarpoint
