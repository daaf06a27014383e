#include "core/filter/admission_filter.h"

#include "core/filter/rejection.h"

namespace briarpoint {

filter_result admission_filter::apply(packet_context &Context) {
  if (!Context.OpensFlow)
    return filter_result::Continue;
  const request_class Class = Context.Match.Port->Class;
  const auto Index = static_cast<std::size_t>(Class);
  if (Admission.admit(Context.Match.Service->Id, Class, Context.Now)) {
    ++Output.counters().Admitted[Index];
    return filter_result::Continue;
  }
  ++Output.counters().Rejected[Index];
  rejectSetup(Context.Packet, drop_reason::Rejected, Output);
  return filter_result::Done;
}

} // namespace briarpoint
