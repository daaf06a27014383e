#include "core/filter/target_choice_filter.h"

#include "core/filter/rejection.h"

namespace briarpoint {

filter_result target_choice_filter::apply(packet_context &Context) {
  if (!Context.OpensFlow && !Context.ChangesTarget)
    return filter_result::Continue;
  const std::uint32_t Target = choose(Context);
  if (Target == NoIndex) {
    rejectSetup(Context.Packet, drop_reason::NoTarget, Output);
    return filter_result::Done;
  }
  const packet_view &Packet = Context.Packet;
  flow_entry *Entry =
      Store.open({Context.Id, Context.Match.Service->Id, Target, Packet.Sequence, Packet.Protocol},
                 Context.Entry, Context.Now);
  if (Entry == nullptr) {
    rejectSetup(Packet, drop_reason::TableFull, Output);
    return filter_result::Done;
  }
  Entry->Setup = Setups.add(Context.Id, Target, Packet.Bytes, Context.Now);
  ++Targets[Target].Observation.Setups;
  if (Context.OpensFlow)
    ++Output.counters().FlowsOpened;
  Context.Entry = Entry;
  Context.Replicates = true;
  return filter_result::Continue;
}

std::uint32_t target_choice_filter::choose(const packet_context &Context) {
  const flow_entry *Former = Context.Entry;
  const service_view &Service = *Context.Match.Service;
  if (Former == nullptr)
    return Selector.choose(Service, Context.Id, {}, Context.Now);

  // A new TCP flow on a reused 5-tuple keeps the former target, so that a late reply comes from the
  // host that holds the new flow. A UDP flow that was ended because its target was silent avoids
  // that target.
  const target_view *Target = Targets[Former->Target].View;
  if (Context.Packet.isTcp() && Context.OpensFlow && Target != nullptr &&
      Target->Service == Service.Id && Selector.acceptsNew(Former->Target))
    return Former->Target;
  const std::uint32_t Other =
      Selector.choose(Service, Context.Id, {&Former->Target, 1}, Context.Now);
  return Other != NoIndex ? Other : Selector.choose(Service, Context.Id, {}, Context.Now);
}

} // namespace briarpoint
