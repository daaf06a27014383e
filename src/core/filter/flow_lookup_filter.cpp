#include "core/filter/flow_lookup_filter.h"

namespace briarpoint {

filter_result flow_lookup_filter::apply(packet_context &Context) {
  Context.Route = &Slots.routeOf(Context.Id);
  if (Context.ReceivedHandover == nullptr && !Context.Route->SelfFirst)
    return sendToFirstOwner(Context);
  Context.Entry = Store.find(Context.Id, Context.Now);
  return Context.Entry == nullptr ? handleUnknownFlow(Context) : handleKnownFlow(Context);
}

filter_result flow_lookup_filter::sendToFirstOwner(const packet_context &Context) {
  if (Context.Route->FirstHop == NoHop) {
    Output.drop(drop_reason::NoOwner);
    return filter_result::Done;
  }
  handover Handover;
  Handover.Kind = handover_kind::ToOwner;
  Handover.Hops = Context.ReceivedHandover == nullptr ? 0 : Context.ReceivedHandover->Hops;
  Output.sendToMember(Context.Route->FirstHop, Handover, Context.Packet.Bytes);
  return filter_result::Done;
}

filter_result flow_lookup_filter::handleKnownFlow(packet_context &Context) {
  flow_entry &Entry = *Context.Entry;
  if (Context.receivedAs(handover_kind::Lookup))
    Context.Replicates = true;

  if (!Context.Packet.isTcp()) {
    // A datagram after the end of the flow opens a new flow; if the target is dead, the flow gets
    // another target.
    const target_view *Target = Targets[Entry.Target].View;
    Context.OpensFlow = Entry.Phase == flow_phase::Closed;
    Context.ChangesTarget = !Context.OpensFlow && Target != nullptr && Target->Dead;
    return filter_result::Continue;
  }
  if (Context.Packet.isSetup()) {
    handleSetupOfKnownFlow(Context);
    return filter_result::Continue;
  }
  if (Context.Packet.has(TcpFin | TcpRst)) {
    Store.advancePhase(Entry,
                       Context.Packet.has(TcpRst) ? flow_phase::Closed
                                                  : phaseAfterFin(Entry.Phase, flow_side::Caller),
                       Context.Now);
    Context.Replicates = true;
  } else if (Entry.Phase == flow_phase::Opening) {
    // The caller has received the target's SYN-ACK through another owner.
    Store.advancePhase(Entry, flow_phase::Established, Context.Now);
    Context.Replicates = true;
  }
  return filter_result::Continue;
}

void flow_lookup_filter::handleSetupOfKnownFlow(packet_context &Context) {
  const flow_entry &Entry = *Context.Entry;
  const target_view *Target = Targets[Entry.Target].View;
  const bool TargetDead = Target != nullptr && Target->Dead;
  if (Context.Packet.Sequence == Entry.InitialSequence) {
    // A retransmission. The first SYN may have been lost between the owners.
    Context.ChangesTarget = TargetDead && Entry.Phase == flow_phase::Opening;
    Context.Replicates = true;
    return;
  }
  // A SYN on the 5-tuple of an open flow may be a late duplicate, so the target has to answer it
  // (RFC 9293, section 3.10.7.4); the record doesn't change.
  Context.OpensFlow = Entry.Phase != flow_phase::Established || Target == nullptr || TargetDead;
}

filter_result flow_lookup_filter::handleUnknownFlow(packet_context &Context) {
  if (Context.receivedAs(handover_kind::Lookup))
    return continueLookup(Context);
  if (!Context.Route->SelfFirst)
    return sendToFirstOwner(Context);
  if (Context.Packet.isSetup()) {
    Context.OpensFlow = true;
    return filter_result::Continue;
  }
  if (Context.receivedAs(handover_kind::NotFound))
    return handleFlowWithoutHolder(Context);
  const bool Converged =
      slot_directory::converged(Slots.slotOf(Context.Id), Output.view(), Context.Now);
  if (!Context.Packet.isTcp() && Converged) {
    Context.OpensFlow = true;
    return filter_result::Continue;
  }
  return startLookup(Context) ? filter_result::Done : handleFlowWithoutHolder(Context);
}

filter_result flow_lookup_filter::continueLookup(const packet_context &Context) {
  if (Output.sendToNextHop(*Context.ReceivedHandover, Context.Packet.Bytes))
    return filter_result::Done;
  const member_view *Origin = Output.view().findMember(Context.ReceivedHandover->Origin);
  if (Origin == nullptr) {
    Output.drop(drop_reason::UnknownFlow);
    return filter_result::Done;
  }
  handover Handover;
  Handover.Kind = handover_kind::NotFound;
  Handover.Hops = Context.ReceivedHandover->Hops;
  Handover.Origin = Context.ReceivedHandover->Origin;
  Output.sendToMember(static_cast<std::uint32_t>(Origin - Output.view().members().data()), Handover,
                      Context.Packet.Bytes);
  return filter_result::Done;
}

bool flow_lookup_filter::startLookup(const packet_context &Context) {
  handover Handover;
  Handover.Kind = handover_kind::Lookup;
  Handover.Hops = Context.ReceivedHandover == nullptr ? 0 : Context.ReceivedHandover->Hops;
  Handover.Origin = Self;
  Handover.RemainingHops = Slots.lookupHops(Slots.slotOf(Context.Id), Output.view(), Context.Now);
  return Output.sendToNextHop(Handover, Context.Packet.Bytes);
}

filter_result flow_lookup_filter::handleFlowWithoutHolder(packet_context &Context) {
  if (!Context.Packet.isTcp()) {
    Context.OpensFlow = true;
    return filter_result::Continue;
  }
  if (!slot_directory::converged(Slots.slotOf(Context.Id), Output.view(), Context.Now)) {
    Output.drop(drop_reason::UnknownFlow);
    return filter_result::Done;
  }
  // Most flows are at their default target. If this one isn't, the target answers with RST, which
  // ends the flow at the caller.
  const std::uint32_t Target = Selector.defaultTarget(*Context.Match.Service, Context.Id);
  if (Target == NoIndex)
    Output.drop(drop_reason::NoTarget);
  else
    Output.sendToTarget(Targets[Target].View, Context.Match.Service->Id, Context.Match.Service,
                        Context.Packet.Bytes);
  return filter_result::Done;
}

} // namespace briarpoint
