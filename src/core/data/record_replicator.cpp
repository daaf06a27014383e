#include "core/data/record_replicator.h"

#include <algorithm>

namespace briarpoint {

void record_replicator::start(flow_entry &Entry, std::span<const std::byte> Packet,
                              packet_direction Direction, const service_view *Matched, instant Now,
                              member_id AdditionalMember) {
  const slot_state &Slot = Slots.slotOf(Entry.Id);
  Entry.SlotEpoch = Slots.routeOf(Entry.Id).Epoch;
  Store.scheduleRefresh(Entry, Now);

  handover Handover;
  Handover.Kind = handover_kind::Replicate;
  Handover.Direction = Direction;
  Handover.Origin = Self;
  Handover.Record = Store.toRecord(Entry, Now);
  Handover.RemainingHops = Slots.replicationHops(Slot, AdditionalMember, Output.view());
  if (Output.sendToNextHop(Handover, Packet))
    return;
  if (Direction == packet_direction::ToCaller)
    Output.sendToCaller(Packet);
  else
    Output.sendToTarget(Targets[Entry.Target].View, Entry.Service, Matched, Packet);
}

void record_replicator::receive(handover Handover, std::span<const std::byte> Packet, instant Now) {
  // Only packets to a target are parsed and matched with a service; those to a caller may be ICMP.
  const bool ToTarget = Handover.Direction == packet_direction::ToTarget;
  packet_view View;
  if (ToTarget && parsePacket(Packet, View) != parse_error::None) {
    Output.drop(drop_reason::Malformed);
    return;
  }
  const bool Agrees = store(Handover.Record, Handover, ToTarget && View.isSetup(), Now);
  if (!Agrees && !ToTarget) {
    // According to the held record, the reply comes from a target that doesn't hold the flow.
    Output.drop(drop_reason::StaleReply);
    return;
  }
  if (Output.sendToNextHop(Handover, Packet))
    return;
  if (!ToTarget) {
    Output.sendToCaller(Packet);
    return;
  }
  const service_view *Matched = Matcher.match(View.Destination, View.Protocol).Service;
  Output.sendToTarget(Output.view().findTarget(Handover.Record.Target), Handover.Record.Service,
                      Matched, Packet);
}

bool record_replicator::store(flow_record &Record, const handover &Handover, bool IsSetup,
                              instant Now) {
  flow_entry *Held = Store.find(Record.Id, Now);
  if (Held == nullptr) {
    if (Store.storeRecord(Record, nullptr, Now) == nullptr)
      ++Output.counters().Dropped[static_cast<std::size_t>(drop_reason::TableFull)];
    return true;
  }
  const flow_record HeldRecord = Store.toRecord(*Held, Now);
  switch (mergeInBand(HeldRecord, Record, IsSetup, Selector.acceptsNew(Held->Target))) {
  case merge_result::Replace:
    Store.storeRecord(Record, Held, Now);
    return true;
  case merge_result::Keep:
    return true;
  case merge_result::Correct:
    break;
  }
  // A later revision makes the corrected owners replace their own records.
  if (laterRevision(static_cast<std::uint16_t>(Record.Revision + 1), Held->Revision))
    Held->Revision = static_cast<std::uint16_t>(Record.Revision + 1);
  Record = Store.toRecord(*Held, Now);
  correctVisitedOwners(Record, Handover);
  return false;
}

void record_replicator::correctVisitedOwners(const flow_record &Record, const handover &Handover) {
  const auto &Remaining = Handover.RemainingHops;
  const auto Correct = [&](member_id Member) {
    if (Member != NoMember && Member != Self &&
        std::find(Remaining.begin(), Remaining.end(), Member) == Remaining.end())
      Output.listener().sendRecords(Member, {&Record, 1});
  };
  const owner_list &Owners = Slots.slotOf(Record.Id).Owners;
  if (!contains(Owners, Handover.Origin))
    Correct(Handover.Origin);
  std::for_each(Owners.begin(), Owners.end(), Correct);
}

} // namespace briarpoint
