#include "core/filter/service_match_filter.h"

namespace briarpoint {

filter_result service_match_filter::apply(packet_context &Context) {
  Context.Match = Matcher.match(Context.Packet.Destination, Context.Packet.Protocol);
  if (Context.Match.Service != nullptr)
    return filter_result::Continue;
  Output.drop(drop_reason::NoService);
  return filter_result::Done;
}

} // namespace briarpoint
