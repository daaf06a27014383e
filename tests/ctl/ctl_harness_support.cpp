#include "ctl/run_ctl.h"
#include "tests/ctl/ctl_harness.h"

#include <event2/event.h>

#include <future>
#include <sstream>

namespace briarpoint::test {

namespace {

const endpoint LoopbackAnyPort{*parseIpAddress("127.0.0.1"), 0};

} // namespace

void ctl_harness::base_deleter::operator()(event_base *Base) const { event_base_free(Base); }

ctl_harness::ctl_harness()
    : Base(event_base_new()),
      Server(std::make_unique<standins::http_service>(
          Base.get(), LoopbackAnyPort,
          [this](const standins::http_service::request &Request) { handle(Request); })) {}

ctl_harness::~ctl_harness() = default;

void ctl_harness::setResponse(const std::string &Request, std::uint16_t Status,
                              const std::string &Body) {
  Responses[Request] = standins::http_service::response{Status, {}, Body};
}

void ctl_harness::leaveUnanswered(const std::string &Request) { Responses[Request] = std::nullopt; }

void ctl_harness::handle(const standins::http_service::request &Request) {
  std::string RequestLine = Request.Method + " " + Request.Path;
  for (const auto &[Name, Value] : Request.Query)
    RequestLine.append("?").append(Name).append("=").append(Value);
  Requests.push_back(RequestLine);
  if (Request.Method == "POST") {
    PostBody = Request.Body;
    const auto Authorization = Request.Headers.find("authorization");
    PostAuthorization = Authorization == Request.Headers.end() ? "" : Authorization->second;
  }
  const auto Found = Responses.find(RequestLine);
  if (Found == Responses.end())
    Server->answer(Request.Id, {404, {}, "no response set for this request"});
  else if (Found->second)
    Server->answer(Request.Id, *Found->second);
}

std::string ctl_harness::address() const { return toString(Server->address()); }

std::string ctl_harness::startSecondServer(std::uint16_t Status, const std::string &Body) {
  SecondServer = std::make_unique<standins::http_service>(
      Base.get(), LoopbackAnyPort,
      [this, Status, Body](const standins::http_service::request &Request) {
        SecondServer->answer(Request.Id, {Status, {}, Body});
      });
  return toString(SecondServer->address());
}

std::string ctl_harness::refusingAddress() {
  const std::unique_ptr<event_base, base_deleter> ClosedBase(event_base_new());
  const standins::http_service Closed(ClosedBase.get(), LoopbackAnyPort,
                                      [](const standins::http_service::request &) {});
  return toString(Closed.address());
}

ctl_harness::outcome ctl_harness::run(std::vector<std::string> Arguments) {
  // Of two --timeout options the later one applies, so the arguments can replace this one.
  Arguments.insert(Arguments.begin(), {"--timeout", "0.5"});
  Arguments.insert(Arguments.end(), {"--server", address()});
  return runExactly(Arguments);
}

ctl_harness::outcome ctl_harness::runExactly(const std::vector<std::string> &Arguments) {
  std::ostringstream Out;
  std::ostringstream Err;
  const ctl_environment Environment{Out, Err,
                                    [this](const std::string &Name) -> std::optional<std::string> {
                                      const auto Found = EnvironmentVariables.find(Name);
                                      return Found == EnvironmentVariables.end()
                                                 ? std::nullopt
                                                 : std::optional(Found->second);
                                    },
                                    [] { return std::string("new-id"); }, [](duration) {}};
  // runCtl blocks, so it runs in a thread of its own while this one runs the server.
  std::future<exit_code> Code =
      std::async(std::launch::async, [&] { return runCtl(Arguments, Environment); });
  while (Code.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready)
    event_base_loop(Base.get(), EVLOOP_NONBLOCK);
  outcome Outcome;
  Outcome.Code = Code.get();
  Outcome.Out = Out.str();
  Outcome.Err = Err.str();
  return Outcome;
}

} // namespace briarpoint::test
