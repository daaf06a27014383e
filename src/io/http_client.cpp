#include "io/http_client.h"

#include "io/http_call.h"

#include <unordered_map>
#include <utility>

namespace briarpoint {

namespace {

/// Size of header fields in bytes, with separators.
std::size_t headerSize(const std::map<std::string, std::string> &Headers) {
  std::size_t Size = 0;
  for (const auto &[Name, Value] : Headers)
    Size += Name.size() + Value.size() + 4;
  return Size;
}

} // namespace

std::size_t wireSize(const outgoing_request &Request) {
  // Bytes of the method, version, Host and Connection fields.
  constexpr std::size_t FixedSize = 65;
  return FixedSize + Request.Target.size() + headerSize(Request.Headers) + Request.Body.size();
}

std::size_t wireSize(const http_response &Response) {
  // Bytes of the status line and the empty line.
  constexpr std::size_t FixedSize = 19;
  return FixedSize + headerSize(Response.Headers) + Response.Body.size();
}

struct http_client::state {
  event_base *Base;
  std::uint64_t LastCallId = 0;
  /// Requests in progress, by id.
  std::unordered_map<std::uint64_t, std::unique_ptr<http_call>> Calls;
};

http_client::http_client(event_loop &Loop)
    : State(std::make_unique<state>(state{Loop.base(), 0, {}})) {}

http_client::~http_client() = default;

void http_client::send(const outgoing_request &Call, callback Done) {
  const std::uint64_t CallId = ++State->LastCallId;
  State->Calls[CallId] = std::make_unique<http_call>(
      State->Base, Call,
      [Self = State.get(), CallId, Done = std::move(Done)](const http_answer &Answer) {
        // The call is removed before Done runs, because Done may send the next request.
        Self->Calls.erase(CallId);
        if (Answer.Outcome == http_answer::outcome::Answered)
          Done(http_response{Answer.Status, Answer.Headers, Answer.Body});
        else
          Done(std::nullopt);
      });
}

} // namespace briarpoint
