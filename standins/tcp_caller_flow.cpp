#include "standins/tcp_caller_flow.h"

namespace briarpoint {

tcp_caller_flow::tcp_caller_flow(const caller_settings &Settings, std::uint32_t InitialSequence)
    : caller_flow(Settings), Next(InitialSequence) {}

segment tcp_caller_flow::makeSegment(std::uint8_t Flags) const {
  segment Segment;
  Segment.Source = Settings.Caller;
  Segment.Destination = Settings.Service;
  Segment.Flags = Flags;
  Segment.Sequence = Next;
  Segment.Acknowledgement = Expected;
  return Segment;
}

void tcp_caller_flow::sendNext(instant Now) {
  if (Phase == phase::Opening) {
    sendReliably(makeSegment(TcpSyn), Now);
    return;
  }
  if (Answered == Settings.Requests) {
    Phase = phase::Closing;
    sendReliably(makeSegment(TcpFin | TcpAck), Now);
    return;
  }
  Phase = phase::Waiting;
  segment Segment = makeSegment(TcpAck);
  Segment.Payload = request();
  sendReliably(Segment, Now);
}

void tcp_caller_flow::handle(const segment &Segment, instant Now) {
  if (outcome() != flow_outcome::Running)
    return;
  if (Segment.Kind == segment_kind::Icmp || Segment.has(TcpRst)) {
    // A RST counts only if it acknowledges the SYN or has the next sequence number, as in TCP.
    const bool Accepted = Phase == phase::Opening ? Segment.Acknowledgement == Next + 1
                                                  : Segment.Sequence == Expected;
    if (Segment.Kind == segment_kind::Icmp || Accepted)
      finish(Phase == phase::Opening ? flow_outcome::Refused : flow_outcome::Broken);
    return;
  }
  if (Segment.has(TcpSyn))
    handleSynAck(Segment, Now);
  else if (Phase == phase::Waiting && !Segment.Payload.empty())
    handleResponse(Segment, Now);
  else if (Phase == phase::Closing && Segment.has(TcpFin) && Segment.Sequence == Expected) {
    ++Expected;
    ++Next;
    Outgoing.push_back(makeSegment(TcpAck));
    finish(flow_outcome::Finished);
  }
}

void tcp_caller_flow::handleSynAck(const segment &Segment, instant Now) {
  if (Phase != phase::Opening || Segment.Acknowledgement != Next + 1)
    return;
  ++Next;
  Expected = Segment.Sequence + 1;
  Phase = phase::Idle;
  Outgoing.push_back(makeSegment(TcpAck));
  settle(Now);
}

void tcp_caller_flow::handleResponse(const segment &Segment, instant Now) {
  const auto Sent = static_cast<std::uint32_t>(request().size());
  // Repeated segments of an earlier response have an earlier sequence number.
  if (Segment.Sequence != Expected || Segment.Acknowledgement != Next + Sent)
    return;
  checkResponse(Segment.Payload);
  Next += Sent;
  Expected += static_cast<std::uint32_t>(Segment.Payload.size());
  ++Answered;
  Phase = phase::Idle;
  Outgoing.push_back(makeSegment(TcpAck));
  settle(Now + Settings.Pause);
}

} // namespace briarpoint
