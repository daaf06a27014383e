#include "core/data/flow_store.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Period in which the whole table is visited. Lookups check the expiry themselves, so this only
/// bounds the time for which an expired entry uses memory and counts as open.
constexpr duration SweepPeriod = std::chrono::seconds(4);

} // namespace

flow_store::flow_store(const data_plane_settings &Settings, target_directory &Targets,
                       const slot_directory &Slots)
    : Settings(Settings), Targets(Targets), Slots(Slots), Table(Settings.MaxFlows) {}

void flow_store::scheduleRefresh(flow_entry &Entry, instant Now) const {
  if (Entry.Phase == flow_phase::Closed)
    Entry.RefreshAt = coarse_instant(Now + Settings.ClosedFlowRetention / 2);
  else
    Entry.RefreshAt =
        coarse_instant(Now + (Entry.Protocol == transport::Udp ? Settings.UdpRefreshInterval
                                                               : Settings.TcpRefreshInterval));
}

void flow_store::updateCounts(flow_entry &Entry) {
  const bool Owns = Slots.routeOf(Entry.Id).SelfFirst;
  const bool Counts = Owns && Entry.Phase != flow_phase::Closed;
  if (Owns != Entry.Owned) {
    Entry.Owned = Owns;
    Owned = Owns ? Owned + 1 : Owned - 1;
  }
  if (Counts != Entry.CountedAsOpen) {
    Entry.CountedAsOpen = Counts;
    std::uint32_t &OpenFlows = Targets[Entry.Target].OpenFlows;
    OpenFlows = Counts ? OpenFlows + 1 : OpenFlows - 1;
  }
}

flow_entry *flow_store::open(const new_flow &Flow, flow_entry *Reused, instant Now) {
  flow_entry *Entry = Reused == nullptr ? Table.insert(Flow.Id) : Reused;
  if (Entry == nullptr)
    return nullptr;
  setTarget(*Entry, Flow.Target);
  Entry->Service = Flow.Service;
  Entry->Protocol = Flow.Protocol;
  Entry->InitialSequence = Flow.InitialSequence;
  ++Entry->Revision;
  Entry->Silence = {};
  Entry->Setup = NoSetup;
  setPhase(*Entry, flow_phase::Opening, Now);
  return Entry;
}

void flow_store::setTarget(flow_entry &Entry, std::uint32_t Target) {
  if (Entry.Target == Target)
    return;
  if (Entry.Target != NoIndex) {
    target_state &Before = Targets[Entry.Target];
    --Before.Entries;
    Before.OpenFlows -= Entry.CountedAsOpen ? 1 : 0;
  }
  Entry.Target = Target;
  target_state &After = Targets[Target];
  ++After.Entries;
  After.OpenFlows += Entry.CountedAsOpen ? 1 : 0;
}

void flow_store::setPhase(flow_entry &Entry, flow_phase Phase, instant Now) {
  Entry.Phase = Phase;
  updateCounts(Entry);
  touch(Entry, Now);
  scheduleRefresh(Entry, Now);
}

bool flow_store::advancePhase(flow_entry &Entry, flow_phase Phase, instant Now) {
  if (Entry.Phase == Phase)
    return false;
  ++Entry.Revision;
  setPhase(Entry, Phase, Now);
  return true;
}

void flow_store::erase(flow_entry &Entry) {
  target_state &Target = Targets[Entry.Target];
  --Target.Entries;
  Target.OpenFlows -= Entry.CountedAsOpen ? 1 : 0;
  Owned -= Entry.Owned ? 1 : 0;
  Table.erase(Entry);
}

flow_record flow_store::toRecord(const flow_entry &Entry, instant Now) const {
  flow_record Record;
  Record.Id = Entry.Id;
  Record.Target = Targets[Entry.Target].Id;
  Record.Service = Entry.Service;
  Record.InitialSequence = Entry.InitialSequence;
  const auto Remaining =
      std::chrono::duration_cast<std::chrono::seconds>(Entry.Expires.durationFrom(Now));
  Record.RemainingSeconds =
      static_cast<std::uint32_t>(std::max<std::int64_t>(Remaining.count(), 1));
  Record.Revision = Entry.Revision;
  Record.Phase = Entry.Phase;
  Record.Protocol = Entry.Protocol;
  return Record;
}

flow_entry *flow_store::storeRecord(const flow_record &Record, flow_entry *Held, instant Now) {
  flow_entry *Entry = Held == nullptr ? Table.insert(Record.Id) : Held;
  if (Entry == nullptr)
    return nullptr;
  const std::uint32_t Target = Targets.indexOf(Record.Target);
  if (Entry->Target != Target || Entry->InitialSequence != Record.InitialSequence) {
    Entry->Silence = {};
    Entry->Setup = NoSetup;
  }
  setTarget(*Entry, Target);
  Entry->Service = Record.Service;
  Entry->InitialSequence = Record.InitialSequence;
  Entry->Revision = Record.Revision;
  Entry->Protocol = Record.Protocol;
  Entry->SlotEpoch = Slots.routeOf(Record.Id).Epoch;
  setPhase(*Entry, Record.Phase, Now);
  const duration Remaining = std::chrono::seconds(Record.RemainingSeconds);
  if (Remaining < Entry->Expires.durationFrom(Now))
    Entry->Expires = coarse_instant(Now + Remaining);
  return Entry;
}

bool flow_store::merge(const flow_record &Record, instant Now) {
  flow_entry *Held = find(Record.Id, Now);
  if (Held != nullptr && mergeRecord(toRecord(*Held, Now), Record) != merge_result::Replace)
    return true;
  flow_entry *Entry = storeRecord(Record, Held, Now);
  if (Entry == nullptr)
    return false;
  // Unlike a record that a packet carries, this record may be missing at the other owners. An
  // outdated epoch makes the next packet replicate it.
  --Entry->SlotEpoch;
  return true;
}

void flow_store::updateOwnership() {
  for (std::uint32_t I = 0; I < Table.indexEnd(); ++I) {
    if (flow_entry *Entry = Table.at(I))
      updateCounts(*Entry);
  }
}

bool flow_store::isObsolete(const flow_entry &Entry, instant Now,
                            const forwarding_view &View) const {
  // A former owner keeps its records until the new owners have them. After TcpRefreshInterval,
  // records of flows in use have been replicated in band and those of idle flows by background
  // transfer.
  const slot_state &Slot = Slots.slotOf(Entry.Id);
  return !Slot.SelfOwner && View.allReachable() && Slots.routeOf(Entry.Id).FirstHop != NoHop &&
         Now >= Slot.ConvergedAt && Now > Slot.ChangedAt + Settings.TcpRefreshInterval;
}

void flow_store::sweep(instant Now, const forwarding_view &View) {
  const std::uint32_t End = Table.indexEnd();
  if (LastSweep == instant::min())
    LastSweep = Now;
  const double Fraction =
      static_cast<double>((Now - LastSweep).count()) / static_cast<double>(SweepPeriod.count());
  const auto Count = static_cast<std::uint32_t>(std::min(1.0, Fraction) * static_cast<double>(End));
  if (Count == 0 && End != 0)
    return;
  LastSweep = Now;
  for (std::uint32_t I = 0; I < Count; ++I) {
    NextSweepIndex = NextSweepIndex + 1 < End ? NextSweepIndex + 1 : 0;
    flow_entry *Entry = Table.at(NextSweepIndex);
    if (Entry != nullptr && (Entry->Expires.isDue(Now) || isObsolete(*Entry, Now, View)))
      erase(*Entry);
  }
}

void flow_store::clear() {
  Table.clear();
  Owned = 0;
  NextSweepIndex = 0;
  for (target_state &Target : Targets.all()) {
    Target.OpenFlows = 0;
    Target.Entries = 0;
  }
}

} // namespace briarpoint
