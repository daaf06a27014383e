#include "standins/tcp_caller_flow.h"

namespace briarpoint {

tcp_caller_flow::tcp_caller_flow(const caller_settings &Settings, std::uint32_t InitialSequence)
    : caller_flow(Settings), NextSequence(InitialSequence) {}

segment tcp_caller_flow::makeSegment(std::uint8_t Flags) const {
  segment Segment;
  Segment.Source = Settings.Caller;
  Segment.Destination = Settings.Service;
  Segment.Flags = Flags;
  Segment.Sequence = NextSequence;
  Segment.Acknowledgement = NextExpected;
  return Segment;
}

void tcp_caller_flow::sendNext(instant Now) {
  if (Phase == phase::Opening) {
    sendReliably(makeSegment(TcpSyn), Now);
    return;
  }
  if (AnsweredRequests == Settings.Requests) {
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
    // As in TCP, a RST is valid only if it acknowledges the SYN or has the next sequence number.
    const bool Accepted = Phase == phase::Opening ? Segment.Acknowledgement == NextSequence + 1
                                                  : Segment.Sequence == NextExpected;
    if (Segment.Kind == segment_kind::Icmp || Accepted)
      finish(Phase == phase::Opening ? flow_outcome::Refused : flow_outcome::Broken);
    return;
  }
  if (Segment.has(TcpSyn))
    handleSynAck(Segment, Now);
  else if (Phase == phase::Waiting && !Segment.Payload.empty())
    handleResponse(Segment, Now);
  else if (Phase == phase::Closing && Segment.has(TcpFin) && Segment.Sequence == NextExpected) {
    ++NextExpected;
    ++NextSequence;
    Outgoing.push_back(makeSegment(TcpAck));
    finish(flow_outcome::Finished);
  }
}

void tcp_caller_flow::handleSynAck(const segment &Segment, instant Now) {
  if (Phase != phase::Opening || Segment.Acknowledgement != NextSequence + 1)
    return;
  ++NextSequence;
  NextExpected = Segment.Sequence + 1;
  Phase = phase::Idle;
  Outgoing.push_back(makeSegment(TcpAck));
  stopRetransmission(Now);
}

void tcp_caller_flow::handleResponse(const segment &Segment, instant Now) {
  const auto Sent = static_cast<std::uint32_t>(request().size());
  // Ignores repeats of earlier responses, which have an earlier sequence number.
  if (Segment.Sequence != NextExpected || Segment.Acknowledgement != NextSequence + Sent)
    return;
  checkResponse(Segment.Payload);
  NextSequence += Sent;
  NextExpected += static_cast<std::uint32_t>(Segment.Payload.size());
  ++AnsweredRequests;
  Phase = phase::Idle;
  Outgoing.push_back(makeSegment(TcpAck));
  stopRetransmission(Now + Settings.Pause);
}

} // namespace briarpoint
