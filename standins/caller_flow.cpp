#include "standins/caller_flow.h"

namespace briarpoint {

void caller_flow::tick(instant Now) {
  if (Outcome != flow_outcome::Running || Now < NextSendAt)
    return;
  if (Now >= ResponseDeadline) {
    finish(flow_outcome::Unanswered);
  } else if (UnansweredSegment) {
    Outgoing.push_back(*UnansweredSegment);
    NextSendAt = Now + Settings.RetransmitInterval;
  } else {
    sendNext(Now);
  }
}

void caller_flow::sendReliably(const segment &Segment, instant Now) {
  Outgoing.push_back(Segment);
  UnansweredSegment = Segment;
  NextSendAt = Now + Settings.RetransmitInterval;
  ResponseDeadline = Now + Settings.ResponseTimeout;
}

void caller_flow::stopRetransmission(instant Next) {
  UnansweredSegment.reset();
  NextSendAt = Next;
  ResponseDeadline = Never;
}

void caller_flow::finish(flow_outcome Result) {
  if (Outcome == flow_outcome::Running)
    Outcome = Result;
}

void caller_flow::checkResponse(const std::string &Response) {
  const std::size_t NameStart = Response.find(' ');
  const std::size_t RequestStart = Response.find(' ', NameStart + 1);
  if (NameStart == std::string::npos || RequestStart == std::string::npos)
    return finish(flow_outcome::WrongAnswer);
  if (Response.substr(0, NameStart) != std::to_string(Settings.Vni))
    return finish(flow_outcome::WrongService);
  const std::string Name = Response.substr(NameStart + 1, RequestStart - NameStart - 1);
  const bool SameTarget = Target.empty() || Target == Name;
  Target = Name;
  if (!SameTarget || Response.substr(RequestStart + 1) != request())
    finish(flow_outcome::WrongAnswer);
}

} // namespace briarpoint
