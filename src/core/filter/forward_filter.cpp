#include "core/filter/forward_filter.h"

#include "net/packet_builder.h"

namespace briarpoint {

filter_result forward_filter::apply(packet_context &Context) {
  flow_entry &Entry = *Context.Entry;
  target_state &Target = Targets[Entry.Target];
  const service_view *Matched = Context.Match.Service;
  if (Target.View == nullptr || Target.View->Service != Entry.Service ||
      Matched->Id != Entry.Service) {
    Output.drop(drop_reason::WrongService);
    return filter_result::Done;
  }
  if (Target.View->Dead) {
    endFlowOfDeadTarget(Context);
    return filter_result::Done;
  }
  if (Entry.Phase != flow_phase::Closed &&
      Detector.observe(Entry.Silence, Context.Packet, Context.Now, Target.LastProgress)) {
    endSilentFlow(Context);
    return filter_result::Done;
  }

  Store.touch(Entry, Context.Now);
  const bool Refresh =
      Entry.SlotEpoch != Context.Route->Epoch || Entry.RefreshAt.isDue(Context.Now);
  if (Refresh || Context.Replicates)
    Replicator.start(Entry, Context.Packet.Bytes, packet_direction::ToTarget, Matched, Context.Now,
                     Context.ReceivedHandover == nullptr ? NoMember
                                                         : Context.ReceivedHandover->Origin);
  else
    Output.listener().sendToTarget(*Target.View, Context.Packet.Bytes);
  return filter_result::Done;
}

void forward_filter::endFlowOfDeadTarget(packet_context &Context) {
  flow_entry &Entry = *Context.Entry;
  if (Store.advancePhase(Entry, flow_phase::Closed, Context.Now)) {
    ++Output.counters().FlowsReset;
  }
  // A RST must not be answered with a RST.
  if (Context.Packet.has(TcpRst))
    return;
  Replicator.start(Entry, buildRstToCaller(Context.Packet).bytes(), packet_direction::ToCaller,
                   Context.Match.Service, Context.Now);
}

void forward_filter::endSilentFlow(packet_context &Context) {
  flow_entry &Entry = *Context.Entry;
  Store.advancePhase(Entry, flow_phase::Closed, Context.Now);
  ++Output.counters().FlowsSilent;
  ++Targets[Entry.Target].Observation.Silent;
  Selector.recordFailure(Entry.Target, Context.Now);
  if (!Context.Packet.isTcp()) {
    Replicator.start(Entry, buildPortUnreachable(Context.Packet).bytes(),
                     packet_direction::ToCaller, Context.Match.Service, Context.Now);
    return;
  }
  Output.sendToCaller(buildRstToCaller(Context.Packet).bytes());
  Replicator.start(Entry, buildRstToTarget(Context.Packet).bytes(), packet_direction::ToTarget,
                   Context.Match.Service, Context.Now);
}

} // namespace briarpoint
