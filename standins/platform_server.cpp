#include "standins/platform_server.h"

#include "config/field_reader.h"
#include "config/json_reader.h"
#include "standins/http_service.h"
#include "standins/object_database.h"

#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <vector>

namespace briarpoint::standins {

namespace {

using nlohmann::json;
using request = http_service::request;
using response = http_service::response;

constexpr std::string_view ObjectPrefix = "/-/objects/";
/// Largest body of a write: a value of 1 MB with JSON escapes.
constexpr std::size_t MaxBodyBytes = 7'000'000;
constexpr std::size_t PageSize = 500;

std::uint64_t readNumber(const std::map<std::string, std::string> &Fields, const char *Name) {
  std::uint64_t Number = 0;
  if (const auto Found = Fields.find(Name); Found != Fields.end())
    std::from_chars(Found->second.data(), Found->second.data() + Found->second.size(), Number);
  return Number;
}

std::string readText(const std::map<std::string, std::string> &Fields, const char *Name) {
  const auto Found = Fields.find(Name);
  return Found == Fields.end() ? "" : Found->second;
}

json toJson(const object_database::object &Object) {
  return {{"meta",
           {{"name", Object.Name},
            {"revision", Object.Revision},
            {"created", Object.Created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", Object.Spec},
          {"status", nullptr}};
}

response makeJsonResponse(std::uint16_t Status, const json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

/// Path of a call after the prefix. The name is empty for calls on a whole kind.
struct object_path {
  std::string Kind;
  std::string Name;
};

object_path readPath(const std::string &Path) {
  const std::string Rest = Path.substr(ObjectPrefix.size());
  const std::size_t Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {Rest, ""};
  const std::string Encoded = Rest.substr(Slash + 1);
  const std::unique_ptr<char, decltype(&std::free)> Decoded(
      evhttp_uridecode(Encoded.c_str(), 0, nullptr), &std::free);
  return {Rest.substr(0, Slash), Decoded.get()};
}

platform_faults readFaults(const std::string &Body) {
  finding_collector Findings("faults");
  const document_value Document = readJson(Body, "faults");
  field_reader Reader(Document, "", Findings);
  platform_faults Faults;
  Reader.optional("down", Faults.Down);
  Reader.optional("over_rate", Faults.RateLimited);
  Reader.optional("lose_put_answers", Faults.LosePutAnswers);
  Reader.optional("hang", Faults.Hang);
  Reader.optional("history_gone", Faults.HistoryGone);
  Reader.optional("delay_ms", bounded{Faults.DelayMs});
  Reader.optional("instances_lag_ms", bounded{Faults.InstancesLagMs});
  Reader.finish();
  Findings.throwIfAny();
  return Faults;
}

/// One-shot timers; the destructor cancels pending ones.
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
    std::string Kind;
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
    else if (Request.Path == "/copy" && Request.Method == "POST")
      handleControl(Request, [this](const request &) { Objects.keepCopy(); });
    else if (Request.Path == "/return" && Request.Method == "POST")
      handleControl(Request, [this](const request &) { comeBackFromCopy(); });
    else if (Request.Path == "/calls" && Request.Method == "GET")
      Http.answer(Request.Id, {200, {}, callsJson()});
    else if (Request.Path.starts_with(ObjectPrefix))
      handleApi(Request);
    else
      Http.answer(Request.Id, {404, {}, ""});
  }

  /// Handles a request that configures the stand-in; malformed ones are answered with 422.
  void handleControl(const request &Request, const std::function<void(const request &)> &Run) {
    try {
      Run(Request);
      Http.answer(Request.Id, {200, {}, ""});
    } catch (const findings_error &Error) {
      Http.answer(Request.Id, {422, {}, Error.what()});
    }
  }

  void handleApi(const request &Request) {
    const bool IsRead = Request.Method == "GET";
    ++(IsRead ? Calls.Reads : Calls.Writes);
    const auto Authorization = Request.Headers.find("authorization");
    if (Faults.Hang)
      return;
    if (Faults.Down || Away)
      reply(Request.Id, {503, {}, ""});
    else if (Faults.RateLimited)
      reply(Request.Id, {429, {}, ""});
    else if (!Token.empty() &&
             (Authorization == Request.Headers.end() || Authorization->second != "Bearer " + Token))
      reply(Request.Id, {401, {}, ""});
    else if (IsRead)
      handleRead(Request, readPath(Request.Path));
    else
      handleWrite(Request, readPath(Request.Path));
  }

  void handleRead(const request &Request, const object_path &Path) {
    if (!Path.Name.empty()) {
      const std::optional<object_database::object> Object = Objects.get(Path.Kind, Path.Name);
      reply(Request.Id, Object ? makeJsonResponse(200, toJson(*Object)) : response{404, {}, ""});
    } else if (Request.Query.contains("watch")) {
      handleWatch(Request, Path.Kind);
    } else {
      handleList(Request, Path.Kind);
    }
  }

  void handleList(const request &Request, const std::string &Kind) {
    const bool IsStale = StaleReads && Request.Query.contains("serializable");
    const object_database &Source = IsStale ? StaleObjects : Objects;
    const std::vector<object_database::object> Page =
        Source.list(Kind, readText(Request.Query, "after"), PageSize);
    json Items = json::array();
    for (const object_database::object &Object : Page)
      Items.push_back(toJson(Object));
    const bool HasMore = !Page.empty() && !Source.list(Kind, Page.back().Name, 1).empty();
    reply(Request.Id,
          makeJsonResponse(
              200, {{"items", Items}, {"has_more", HasMore}, {"current_rev", Source.revision()}}));
  }

  void handleWatch(const request &Request, const std::string &Kind) {
    const std::uint64_t After = readNumber(Request.Query, "watch");
    const auto Changes = Faults.HistoryGone ? std::nullopt : Objects.changes(Kind, After);
    if (!Changes) {
      reply(Request.Id, {410, {}, ""});
    } else if (!EventsWithheld && !Changes->empty()) {
      reply(Request.Id, makeChanges(*Changes, Objects.revision()));
    } else {
      constexpr std::uint64_t MaxWaitMs = 30'000;
      Watches.push_back({Request.Id, Kind, After});
      Timers.start(
          static_cast<std::uint32_t>(std::min(readNumber(Request.Query, "wait_ms"), MaxWaitMs)),
          [this, Id = Request.Id] { endWatch(Id); });
    }
  }

  static response makeChanges(const std::vector<object_database::change> &Changes,
                              std::uint64_t Revision) {
    json Events = json::array();
    for (const object_database::change &Change : Changes)
      Events.push_back({{"object", toJson(Change.Object)}, {"deleted", Change.Deleted}});
    return makeJsonResponse(200, {{"events", Events}, {"current_rev", Revision}});
  }

  void handleWrite(const request &Request, const object_path &Path) {
    if (Request.Body.size() > MaxBodyBytes) {
      reply(Request.Id, {413, {}, ""});
      return;
    }
    const json Body = json::parse(Request.Body, nullptr, false);
    const bool NeedsBody = Request.Method != "DELETE";
    if (NeedsBody && (!Body.is_object() || !Body.contains("spec") || !Body.contains("meta"))) {
      reply(Request.Id, {422, {}, ""});
      return;
    }
    const response Answer = write(Request.Method, Path, Body);
    if (!Faults.LosePutAnswers)
      reply(Request.Id, Answer);
    answerWatches(Path.Kind);
  }

  response write(const std::string &Method, const object_path &Path, const json &Body) {
    if (Method == "DELETE")
      return {static_cast<std::uint16_t>(Objects.remove(Path.Kind, Path.Name) ? 200 : 404), {}, ""};
    const json &Meta = Body["meta"];
    const object_database::write_result Result =
        Method == "POST" ? Objects.create(Path.Kind, Meta.value("name", ""), Body["spec"])
                         : Objects.replace(Path.Kind, Path.Name,
                                           Meta.value("revision", std::uint64_t{0}), Body["spec"]);
    if (!Result.Object)
      return {404, {}, ""};
    return makeJsonResponse(Result.Written ? 200 : 409, toJson(*Result.Object));
  }

  void comeBackFromCopy() {
    Objects.comeBackFromCopy();
    // Stale reads aren't older than the copy.
    StaleObjects = Objects;
    EventsWithheld = false;
    Watches.clear();
  }

  void reply(http_service::request_id Id, response Response) {
    if (Objects.era() != 0)
      Response.Headers["Store-Era"] = std::to_string(Objects.era());
    if (Faults.DelayMs == 0)
      Http.answer(Id, Response);
    else
      Timers.start(Faults.DelayMs, [this, Id, Response] { Http.answer(Id, Response); });
  }

  /// Answers the pending watches for \p Kind if there is a change for them.
  void answerWatches(const std::string &Kind) {
    if (EventsWithheld)
      return;
    std::erase_if(Watches, [&](const waiting_watch &Watch) {
      if (Watch.Kind != Kind)
        return false;
      const auto Changes = Objects.changes(Watch.Kind, Watch.After);
      if (Changes && Changes->empty())
        return false;
      reply(Watch.Request,
            Changes ? makeChanges(*Changes, Objects.revision()) : response{410, {}, ""});
      return true;
    });
  }

  void endWatch(http_service::request_id Id) {
    std::erase_if(Watches, [&](const waiting_watch &Watch) {
      if (Watch.Request != Id)
        return false;
      const bool Gone = !Objects.changes(Watch.Kind, Watch.After);
      reply(Id, Gone ? response{410, {}, ""}
                     : makeChanges({}, EventsWithheld ? Watch.After : Objects.revision()));
      return true;
    });
  }

  /// Removes watches whose connection has ended.
  void removeAbandonedWatches() {
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
      writeInstances(Body);
    else
      Timers.start(Faults.InstancesLagMs, [this, Body] { writeInstances(Body); });
  }

  /// Replaces the objects of kind "instances"; elements without a name are skipped.
  void writeInstances(const std::string &Body) {
    for (const object_database::object &Object : Objects.list("instances", "", ~std::size_t{0}))
      Objects.remove("instances", Object.Name);
    const json List = json::parse(Body);
    for (const json &Element : List.at("instances"))
      if (Element.is_object() && Element.contains("name") && Element["name"].is_string())
        Objects.create("instances", Element["name"], Element);
    answerWatches("instances");
  }

  platform_calls calls() {
    removeAbandonedWatches();
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
  object_database Objects;
  /// Copy of the objects at the last withholdWatchEvents().
  object_database StaleObjects;
  bool StaleReads = false;
  bool EventsWithheld = false;
  bool Away = false;
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

void platform_server::writeObject(const std::string &Kind, const std::string &Name,
                                  const std::string &SpecJson) {
  json Spec = json::parse(SpecJson);
  if (!State->Objects.create(Kind, Name, Spec).Written)
    State->Objects.replace(Kind, Name, 0, std::move(Spec));
  State->answerWatches(Kind);
}

void platform_server::removeObject(const std::string &Kind, const std::string &Name) {
  State->Objects.remove(Kind, Name);
  State->answerWatches(Kind);
}

void platform_server::keepCopy() { State->Objects.keepCopy(); }

void platform_server::setAway(bool IsAway) { State->Away = IsAway; }

void platform_server::comeBackFromCopy() { State->comeBackFromCopy(); }

void platform_server::keepStaleCopy() { State->StaleObjects = State->Objects; }

void platform_server::withholdWatchEvents() {
  State->EventsWithheld = true;
  keepStaleCopy();
}

void platform_server::setStaleReads(bool Enabled) { State->StaleReads = Enabled; }

void platform_server::dropHistory() {
  State->EventsWithheld = false;
  State->Objects.compact();
}

void platform_server::endWatches() {
  const std::vector<state::waiting_watch> Waiting = State->Watches;
  for (const state::waiting_watch &Watch : Waiting)
    State->endWatch(Watch.Request);
}

} // namespace briarpoint::standins
