#include "standins/udp_caller_flow.h"

namespace briarpoint {

void udp_caller_flow::sendNext(instant Now) {
  if (AnsweredRequests == Settings.Requests) {
    finish(flow_outcome::Finished);
    return;
  }
  segment Segment;
  Segment.Kind = segment_kind::Udp;
  Segment.Source = Settings.Caller;
  Segment.Destination = Settings.Service;
  Segment.Payload = request();
  sendReliably(Segment, Now);
}

bool udp_caller_flow::isRepeated(const std::string &Response) const {
  for (std::uint32_t I = 0; I < AnsweredRequests; ++I)
    if (Response.ends_with(" " + Settings.Token + "/" + std::to_string(I)))
      return true;
  return false;
}

void udp_caller_flow::handle(const segment &Segment, instant Now) {
  if (outcome() != flow_outcome::Running)
    return;
  if (Segment.Kind == segment_kind::Icmp) {
    finish(AnsweredRequests == 0 ? flow_outcome::Refused : flow_outcome::Broken);
    return;
  }
  // A retransmitted request gets a second response, which may arrive after the next request.
  if (isRepeated(Segment.Payload))
    return;
  checkResponse(Segment.Payload);
  ++AnsweredRequests;
  stopRetransmission(Now + Settings.Pause);
}

} // namespace briarpoint
