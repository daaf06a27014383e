#include "platform/http_object_store.h"

#include "config/field_reader.h"
#include "config/json_reader.h"
#include "platform/http_call.h"

#include <event2/event.h>
#include <event2/http.h>

#include <charconv>
#include <cstdlib>
#include <list>
#include <optional>
#include <stdexcept>

namespace briarpoint {

namespace {

enum : int {
  StatusOk = 200,
  StatusNotModified = 304,
  StatusNotFound = 404,
  StatusConflict = 409,
};

/// Percent-encodes a key but leaves the slashes.
std::string encodeKey(const std::string &Key) {
  const std::unique_ptr<char, decltype(&std::free)> Encoded(
      evhttp_uriencode(Key.data(), static_cast<ev_ssize_t>(Key.size()), 0), &std::free);
  std::string Text = Encoded.get();
  for (std::size_t At = Text.find("%2F"); At != std::string::npos; At = Text.find("%2F", At))
    Text.replace(At, 3, "/");
  return Text;
}

std::optional<object_version> readVersion(const http_answer &Answer) {
  const auto Header = Answer.Headers.find("object-version");
  if (Header == Answer.Headers.end())
    return std::nullopt;
  const std::string &Text = Header->second;
  object_version Version = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Version;
}

object_result toReadResult(const http_answer &Answer, object_version Known) {
  if (Answer.Outcome != http_answer::outcome::Answered)
    return {object_status::Unavailable, 0, ""};
  if (Answer.Status == StatusNotFound)
    return {object_status::NotFound, 0, ""};
  if (Answer.Status == StatusNotModified)
    return {object_status::Unchanged, Known, ""};
  const std::optional<object_version> Version = readVersion(Answer);
  if (Answer.Status != StatusOk || !Version || Answer.Body.size() > MaxObjectSize)
    return {object_status::Unavailable, 0, ""};
  return {object_status::Ok, *Version, Answer.Body};
}

object_result toPutResult(const http_answer &Answer) {
  if (Answer.Outcome == http_answer::outcome::NotSent)
    return {object_status::Unavailable, 0, ""};
  if (Answer.Outcome == http_answer::outcome::NoAnswer)
    return {object_status::Unknown, 0, ""};
  const std::optional<object_version> Version = readVersion(Answer);
  if (Answer.Status == StatusOk && Version)
    return {object_status::Ok, *Version, ""};
  if (Answer.Status == StatusConflict)
    return {object_status::Conflict, Version.value_or(0), ""};
  // A refusal names the fault of the request (4xx, such as 429) or is 503. Any other answer, such
  // as 500 or 200 without a version, doesn't tell whether the write took effect.
  constexpr int ServiceUnavailable = 503;
  const bool Refused =
      (Answer.Status >= 400 && Answer.Status < 500) || Answer.Status == ServiceUnavailable;
  return {Refused ? object_status::Unavailable : object_status::Unknown, 0, ""};
}

/// Reads the list of instances. Entries with other fields are accepted, malformed ones are left
/// out: the list only helps to find the first peers.
std::optional<std::vector<instance_entry>> readInstances(const std::string &Body) {
  std::vector<instance_entry> Entries;
  finding_collector Findings("instances");
  try {
    const document_value Document = readJson(Body, "instances");
    field_reader Reader(Document, "", Findings);
    Reader.requiredElements("instances", [&](const document_value &Value, const std::string &Path) {
      finding_collector EntryFindings("instances");
      field_reader Fields(Value, Path, EntryFindings);
      instance_entry Entry;
      endpoint Control;
      Fields.required("name", Entry.Name);
      if (Fields.required("control", Control))
        Entry.Control = toString(Control);
      Fields.optional("leaving", Entry.Leaving);
      if (EntryFindings.empty())
        Entries.push_back(std::move(Entry));
    });
  } catch (const findings_error &) {
    return std::nullopt;
  }
  if (!Findings.empty())
    return std::nullopt;
  return Entries;
}

} // namespace

struct http_object_store::state {
  using call_list = std::list<std::unique_ptr<http_call>>;

  event_base *Base;
  http_object_store_settings Settings;
  call_list Calls;

  http_request makeRequest(std::string Target) const {
    http_request Request;
    Request.Server = Settings.Server;
    Request.Target = std::move(Target);
    if (!Settings.Token.empty())
      Request.Headers.emplace_back("Authorization", "Bearer " + Settings.Token.reveal());
    Request.IdleLimit = Settings.Timeout;
    Request.TotalLimit = 2 * Settings.Timeout;
    Request.MaxAnswerBytes = MaxObjectSize;
    return Request;
  }

  /// Starts a call. The call is removed from the list before \p Done runs; \p Done may destroy the
  /// store.
  static void start(const std::shared_ptr<state> &Self, const http_request &Request,
                    http_call::callback Done) {
    if (Self->Calls.size() >= Self->Settings.MaxCalls) {
      refuse(Self, std::move(Done));
      return;
    }
    const auto Position = Self->Calls.emplace(Self->Calls.end());
    const std::weak_ptr<state> Weak = Self;
    *Position = std::make_unique<http_call>(
        Self->Base, Request, [Weak, Position, Done = std::move(Done)](const http_answer &Answer) {
          if (const std::shared_ptr<state> Alive = Weak.lock()) {
            Alive->Calls.erase(Position);
            Done(Answer);
          }
        });
  }

  /// Answers from the loop without a call.
  static void refuse(const std::shared_ptr<state> &Self, http_call::callback Done) {
    struct refusal {
      std::weak_ptr<state> Weak;
      http_call::callback Done;
    };
    auto Refusal = std::make_unique<refusal>(refusal{Self, std::move(Done)});
    constexpr timeval Now{0, 0};
    const int Failed = event_base_once(
        Self->Base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *Argument) {
          const std::unique_ptr<refusal> Owned(static_cast<refusal *>(Argument));
          if (const std::shared_ptr<state> Alive = Owned->Weak.lock())
            Owned->Done({http_answer::outcome::NotSent, 0, {}, ""});
        },
        Refusal.get(), &Now);
    if (Failed == 0)
      (void)Refusal.release();
  }
};

http_object_store::http_object_store(event_base *Base, const http_object_store_settings &Settings)
    : State(std::make_shared<state>(state{Base, Settings, {}})) {}

http_object_store::~http_object_store() = default;

void http_object_store::get(const std::string &Key, callback Done) {
  state::start(
      State, State->makeRequest("/v1/objects/" + encodeKey(Key)),
      [Done = std::move(Done)](const http_answer &Answer) { Done(toReadResult(Answer, 0)); });
}

void http_object_store::put(const std::string &Key, object_version Expected,
                            const std::string &Value, callback Done) {
  if (Value.size() > MaxObjectSize)
    throw std::length_error("the value of an object exceeds 1 MB");
  http_request Request = State->makeRequest("/v1/objects/" + encodeKey(Key));
  Request.Method = http_request::method::Put;
  Request.Headers.emplace_back("If-Object-Version", std::to_string(Expected));
  Request.Body = Value;
  state::start(State, Request,
               [Done = std::move(Done)](const http_answer &Answer) { Done(toPutResult(Answer)); });
}

void http_object_store::watch(const std::string &Key, object_version Known, callback Done) {
  const auto Wait = std::chrono::ceil<std::chrono::seconds>(State->Settings.WatchTime);
  http_request Request =
      State->makeRequest("/v1/objects/" + encodeKey(Key) + "?after=" + std::to_string(Known) +
                         "&wait=" + std::to_string(Wait.count()));
  Request.IdleLimit += Wait;
  Request.TotalLimit += Wait;
  state::start(State, Request, [Done = std::move(Done), Known](const http_answer &Answer) {
    Done(toReadResult(Answer, Known));
  });
}

void http_object_store::listInstances(instances_callback Done) {
  http_request Request = State->makeRequest("/v1/instances");
  Request.MaxAnswerBytes = State->Settings.MaxListBytes;
  state::start(State, Request, [Done = std::move(Done)](const http_answer &Answer) {
    const bool Answered =
        Answer.Outcome == http_answer::outcome::Answered && Answer.Status == StatusOk;
    const auto Entries = Answered ? readInstances(Answer.Body) : std::nullopt;
    if (Entries)
      Done(object_status::Ok, *Entries);
    else
      Done(object_status::Unavailable, {});
  });
}

} // namespace briarpoint
