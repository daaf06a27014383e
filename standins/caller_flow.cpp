#include "standins/caller_flow.h"

namespace briarpoint {

void caller_flow::tick(instant Now) {
  if (Outcome != flow_outcome::Running || Now < NextSend)
    return;
  if (Now >= GiveUp) {
    finish(flow_outcome::Unanswered);
  } else if (Unanswered) {
    Outgoing.push_back(*Unanswered);
    NextSend = Now + Settings.RetransmitAfter;
  } else {
    sendNext(Now);
  }
}

void caller_flow::sendReliably(const segment &Segment, instant Now) {
  Outgoing.push_back(Segment);
  Unanswered = Segment;
  NextSend = Now + Settings.RetransmitAfter;
  GiveUp = Now + Settings.GiveUpAfter;
}

void caller_flow::settle(instant Next) {
  Unanswered.reset();
  NextSend = Next;
  GiveUp = Never;
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
