#include "ctl/daemon_client.h"

#include "ctl/ctl_error.h"
#include "io/http_call.h"

#include <event2/event.h>

#include <optional>

namespace briarpoint {

namespace {

/// A dump of a balancer with 100,000 flows takes about 30 MB.
constexpr std::size_t MaxAnswerBytes = 512'000'000;

std::string describeFailure(const endpoint &Server, const http_answer &Answer) {
  const std::string Prefix = toString(Server) + ": ";
  switch (Answer.Outcome) {
  case http_answer::outcome::NotSent:
    return Prefix + "cannot connect";
  case http_answer::outcome::NoAnswer:
    return Prefix + "no answer within the time limit";
  case http_answer::outcome::TooLarge:
    return Prefix + "the answer has more than " + std::to_string(MaxAnswerBytes) + " bytes";
  case http_answer::outcome::Answered:
    break;
  }
  return Prefix + "status " + std::to_string(Answer.Status) + " " + Answer.Body;
}

} // namespace

void daemon_client::base_deleter::operator()(event_base *Base) const { event_base_free(Base); }

daemon_client::daemon_client(const ctl_options &Options)
    : Options(Options), Base(event_base_new()) {}

std::string daemon_client::get(const std::string &RequestTarget) const {
  std::string Failures;
  bool Answered = false;
  for (const endpoint &Server : Options.Servers) {
    http_answer Answer = getFrom(Server, RequestTarget);
    Answered = Answer.Outcome == http_answer::outcome::Answered;
    if (Answered && Answer.Status == 200)
      return std::move(Answer.Body);
    Failures += (Failures.empty() ? "" : "\n") + describeFailure(Server, Answer);
    // Another balancer may be available; to any other status, it would give the same answer.
    constexpr int StatusUnavailable = 503;
    if (Answered && Answer.Status != StatusUnavailable)
      break;
  }
  throw ctl_error(Answered ? exit_code::UnexpectedAnswer : exit_code::Unreachable, Failures);
}

http_answer daemon_client::getFrom(const endpoint &Server, const std::string &RequestTarget) const {
  return send(Server, false, RequestTarget, "");
}

http_answer daemon_client::post(const std::string &RequestTarget, const std::string &Body) const {
  http_answer Answer;
  for (const endpoint &Server : Options.Servers) {
    Answer = send(Server, true, RequestTarget, Body);
    if (Answer.Outcome != http_answer::outcome::NotSent)
      break;
  }
  return Answer;
}

http_answer daemon_client::send(const endpoint &Server, bool IsPost,
                                const std::string &RequestTarget, const std::string &Body) const {
  outgoing_request Request;
  Request.Server = Server;
  Request.Method = IsPost ? "POST" : "GET";
  Request.Target = RequestTarget;
  Request.Body = Body;
  Request.Limit = Options.Timeout;
  Request.MaxResponseSize = MaxAnswerBytes;
  if (!Options.Token.empty())
    Request.Headers["Authorization"] = "Bearer " + Options.Token.reveal();
  std::optional<http_answer> Result;
  const http_call Call(Base.get(), Request,
                       [&Result](const http_answer &Answer) { Result = Answer; });
  while (!Result)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  return std::move(*Result);
}

} // namespace briarpoint
