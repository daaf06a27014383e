#include "standins/platform_server.h"

#include "config/field_reader.h"
#include "config/json_reader.h"
#include "standins/http_service.h"
#include "standins/platform_objects.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <functional>
#include <list>
#include <map>
#include <vector>

namespace briarpoint::standins {

namespace {

using nlohmann::json;
using request = http_service::request;
using response = http_service::response;

constexpr std::string_view ObjectPrefix = "/v1/objects/";
constexpr std::size_t MaxValueBytes = 1'000'000;

std::uint64_t readNumber(const std::map<std::string, std::string> &Fields, const char *Name) {
  std::uint64_t Number = 0;
  if (const auto Found = Fields.find(Name); Found != Fields.end())
    std::from_chars(Found->second.data(), Found->second.data() + Found->second.size(), Number);
  return Number;
}

response makeObjectResponse(std::uint16_t Status, std::uint64_t Version, std::string Body = "") {
  return {Status, {{"Object-Version", std::to_string(Version)}}, std::move(Body)};
}

platform_faults readFaults(const std::string &Body) {
  finding_collector Findings("faults");
  const document_value Document = readJson(Body, "faults");
  field_reader Reader(Document, "", Findings);
  platform_faults Faults;
  Reader.optional("down", Faults.Down);
  Reader.optional("over_rate", Faults.OverRate);
  Reader.optional("lose_put_answers", Faults.LosePutAnswers);
  Reader.optional("hang", Faults.Hang);
  Reader.optional("delay_ms", bounded{Faults.DelayMs});
  Reader.optional("instances_lag_ms", bounded{Faults.InstancesLagMs});
  Reader.finish();
  Findings.throwIfAny();
  return Faults;
}

/// One-shot timers that are cancelled with their owner.
class timer_list {
public:
  explicit timer_list(event_base *Base) : Base(Base) {}

  /// Calls \p Run after the delay.
  void start(std::uint32_t DelayMs, std::function<void()> Run) {
    const auto Timer = Timers.emplace(Timers.end());
    Timer->Owner = this;
    Timer->Position = Timer;
    Timer->Run = std::move(Run);
    Timer->Event.reset(evtimer_new(Base, &timer_list::fire, &*Timer));
    const timeval Delay{DelayMs / 1000, (DelayMs % 1000) * 1000};
    evtimer_add(Timer->Event.get(), &Delay);
  }

private:
  struct timer {
    timer_list *Owner = nullptr;
    std::list<timer>::iterator Position;
    std::function<void()> Run;
    std::unique_ptr<event, decltype(&event_free)> Event{nullptr, &event_free};
  };

  static void fire(evutil_socket_t /*Socket*/, short /*What*/, void *Argument) {
    auto *Timer = static_cast<timer *>(Argument);
    const std::function<void()> Run = std::move(Timer->Run);
    Timer->Owner->Timers.erase(Timer->Position);
    Run();
  }

  event_base *Base;
  std::list<timer> Timers;
};

} // namespace

struct platform_server::state {
  struct waiting_watch {
    http_service::request_id Request = 0;
    std::string Key;
    std::uint64_t After = 0;
  };

  state(event_base *Base, const endpoint &Listen, std::string Token)
      : Token(std::move(Token)), Timers(Base),
        Http(Base, Listen, [this](const request &Request) { handle(Request); }) {}

  void handle(const request &Request) {
    if (Request.Path == "/faults" && Request.Method == "POST")
      handleControl(Request, [this](const request &R) { Faults = readFaults(R.Body); });
    else if (Request.Path == "/instances" && Request.Method == "POST")
      handleControl(Request, [this](const request &R) { setInstances(R.Body); });
    else if (Request.Path == "/calls" && Request.Method == "GET")
      Http.answer(Request.Id, {200, {}, callsJson()});
    else if (Request.Path.starts_with("/v1/"))
      handleApi(Request);
    else
      Http.answer(Request.Id, {404, {}, ""});
  }

  /// Runs a request that changes the stand-in itself; malformed ones are answered with 422.
  void handleControl(const request &Request, const std::function<void(const request &)> &Run) {
    try {
      Run(Request);
      Http.answer(Request.Id, {200, {}, ""});
    } catch (const findings_error &Error) {
      Http.answer(Request.Id, {422, {}, Error.what()});
    }
  }

  void handleApi(const request &Request) {
    ++(Request.Method == "PUT" ? Calls.Writes : Calls.Reads);
    const auto Given = Request.Headers.find("authorization");
    if (Faults.Hang)
      return;
    if (Faults.Down)
      reply(Request.Id, {503, {}, ""});
    else if (Faults.OverRate)
      reply(Request.Id, {429, {}, ""});
    else if (!Token.empty() &&
             (Given == Request.Headers.end() || Given->second != "Bearer " + Token))
      reply(Request.Id, {401, {}, ""});
    else if (Request.Path == "/v1/instances" && Request.Method == "GET")
      reply(Request.Id, {200, {{"Content-Type", "application/json"}}, Instances});
    else if (Request.Path.starts_with(ObjectPrefix) && Request.Method == "GET")
      handleGet(Request, Request.Path.substr(ObjectPrefix.size()));
    else if (Request.Path.starts_with(ObjectPrefix) && Request.Method == "PUT")
      handlePut(Request, Request.Path.substr(ObjectPrefix.size()));
    else
      reply(Request.Id, {404, {}, ""});
  }

  void handleGet(const request &Request, const std::string &Key) {
    const platform_objects::object Object = Objects.get(Key);
    const std::uint64_t After = readNumber(Request.Query, "after");
    const std::uint64_t Wait = readNumber(Request.Query, "wait");
    const bool IsWatch = Request.Query.contains("after");
    if (IsWatch && Object.Version <= After) {
      Watches.push_back({Request.Id, Key, After});
      constexpr std::uint64_t MaxWait = 3600;
      Timers.start(static_cast<std::uint32_t>(std::min(Wait, MaxWait) * 1000),
                   [this, Id = Request.Id] { endWatch(Id); });
      return;
    }
    reply(Request.Id, Object.Version == 0 ? response{404, {}, ""}
                                          : makeObjectResponse(200, Object.Version, Object.Value));
  }

  void handlePut(const request &Request, const std::string &Key) {
    const std::uint64_t Expected = readNumber(Request.Headers, "if-object-version");
    if (Request.Body.size() > MaxValueBytes) {
      reply(Request.Id, {413, {}, ""});
      return;
    }
    const bool Written = Objects.put(Key, Expected, Request.Body);
    if (!Faults.LosePutAnswers)
      reply(Request.Id, makeObjectResponse(Written ? 200 : 409, Objects.get(Key).Version));
    if (Written)
      answerWatches(Key);
  }

  void reply(http_service::request_id Id, const response &Response) {
    if (Faults.DelayMs == 0)
      Http.answer(Id, Response);
    else
      Timers.start(Faults.DelayMs, [this, Id, Response] { Http.answer(Id, Response); });
  }

  void answerWatches(const std::string &Key) {
    const platform_objects::object Object = Objects.get(Key);
    std::erase_if(Watches, [&](const waiting_watch &Watch) {
      if (Watch.Key != Key || Object.Version <= Watch.After)
        return false;
      reply(Watch.Request, makeObjectResponse(200, Object.Version, Object.Value));
      return true;
    });
  }

  void endWatch(http_service::request_id Id) {
    std::erase_if(Watches, [&](const waiting_watch &Watch) {
      if (Watch.Request != Id)
        return false;
      reply(Id, {304, {}, ""});
      return true;
    });
  }

  /// Watches whose caller has gone don't wait any more.
  void forgetEndedWatches() {
    std::erase_if(Watches,
                  [this](const waiting_watch &Watch) { return !Http.isWaiting(Watch.Request); });
  }

  void setInstances(const std::string &Body) {
    const document_value Document = readJson(Body, "instances");
    finding_collector Findings("instances");
    field_reader Reader(Document, "", Findings);
    Reader.requiredElements("instances", [](const document_value &, const std::string &) {});
    Findings.throwIfAny();
    if (Faults.InstancesLagMs == 0)
      Instances = Body;
    else
      Timers.start(Faults.InstancesLagMs, [this, Body] { Instances = Body; });
  }

  platform_calls calls() {
    forgetEndedWatches();
    platform_calls Result = Calls;
    Result.WaitingWatches = Watches.size();
    return Result;
  }

  std::string callsJson() {
    const platform_calls Current = calls();
    return json{{"reads", Current.Reads},
                {"writes", Current.Writes},
                {"waiting_watches", Current.WaitingWatches}}
        .dump();
  }

  std::string Token;
  platform_faults Faults;
  platform_calls Calls;
  platform_objects Objects;
  std::string Instances = R"({"instances":[]})";
  std::vector<waiting_watch> Watches;
  timer_list Timers;
  http_service Http;
};

platform_server::platform_server(event_base *Base, const endpoint &Listen, std::string Token)
    : State(std::make_unique<state>(Base, Listen, std::move(Token))) {}

platform_server::~platform_server() = default;

endpoint platform_server::address() const { return State->Http.address(); }

void platform_server::setFaults(const platform_faults &Faults) { State->Faults = Faults; }

platform_calls platform_server::calls() const { return State->calls(); }

void platform_server::endWatches() {
  const std::vector<state::waiting_watch> Waiting = State->Watches;
  for (const state::waiting_watch &Watch : Waiting)
    State->endWatch(Watch.Request);
}

} // namespace briarpoint::standins
