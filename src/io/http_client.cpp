#include "io/http_client.h"

#include "io/http_connection.h"

#include <unordered_map>
#include <utility>

namespace briarpoint {

namespace {

/// Bytes of header fields, with separators.
std::size_t headerSize(const std::map<std::string, std::string> &Headers) {
  std::size_t Size = 0;
  for (const auto &[Name, Value] : Headers)
    Size += Name.size() + Value.size() + 4;
  return Size;
}

} // namespace

std::size_t wireSize(const outgoing_request &Request) {
  // Method, version, Host and Connection fields.
  constexpr std::size_t Fixed = 65;
  return Fixed + Request.Target.size() + headerSize(Request.Headers) + Request.Body.size();
}

std::size_t wireSize(const http_response &Response) {
  // Status line and the empty line.
  constexpr std::size_t Fixed = 19;
  return Fixed + headerSize(Response.Headers) + Response.Body.size();
}

struct http_client::state {
  event_loop &Loop;
  std::uint64_t NextNumber = 0;
  /// Connections of the calls in progress, by number.
  std::unordered_map<std::uint64_t, std::unique_ptr<http_connection>> Calls;
};

http_client::http_client(event_loop &Loop) : State(std::make_unique<state>(state{Loop, 0, {}})) {}

http_client::~http_client() = default;

void http_client::send(const outgoing_request &Call, callback Done) {
  const std::uint64_t Number = ++State->NextNumber;
  http_connection_settings Settings;
  Settings.ConnectTime = Call.Limit;
  outgoing_request Request = Call;
  Request.Headers["Connection"] = "close";
  auto &Connection = State->Calls[Number] =
      std::make_unique<http_connection>(State->Loop, Settings);
  Connection->send(Request, [Self = State.get(), Number,
                             Done = std::move(Done)](const std::optional<http_response> &Response) {
    // The call is removed before Done runs, because Done may send the next one.
    Self->Calls.erase(Number);
    Done(Response);
  });
}

} // namespace briarpoint
