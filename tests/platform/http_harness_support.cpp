#include "io/http_call.h"
#include "tests/platform/http_harness.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace briarpoint::test {

namespace {

/// Timeout of calls: short, because tests of lost answers wait for it, but long enough for other
/// calls on a busy machine.
constexpr auto Timeout = std::chrono::milliseconds(500);

} // namespace

void http_harness::base_deleter::operator()(event_base *Base) const { event_base_free(Base); }

http_harness::http_harness(const std::string &ServerToken, const std::string &ClientToken)
    : Base(event_base_new()),
      Server(std::make_unique<standins::platform_server>(
          Base.get(), endpoint{*parseIpAddress("127.0.0.1"), 0}, ServerToken)),
      Address(Server->address()) {
  http_object_store_settings Settings;
  Settings.Server = Address;
  Settings.Token = secret(ClientToken);
  Settings.Timeout = Timeout;
  Settings.MaxCalls = 8;
  Store = std::make_unique<http_object_store>(Base.get(), Settings);
}

http_harness::~http_harness() = default;

void http_harness::step() { event_base_loop(Base.get(), EVLOOP_ONCE); }

void http_harness::endWatches() {
  // A change of another object ends a call of the watch. Wait until the next call has arrived.
  while (Server->calls().WaitingWatches == 0)
    step();
  Server->endWatches();
}

void http_harness::setInstances(const std::vector<instance_entry> &Entries) {
  nlohmann::json List = nlohmann::json::array();
  for (const instance_entry &Entry : Entries)
    List.push_back({{"name", Entry.Name}, {"control", Entry.Control}, {"leaving", Entry.Leaving}});
  EXPECT_EQ(post("/instances", nlohmann::json{{"instances", List}}.dump()).first, 200);
}

std::pair<int, std::string> http_harness::post(const std::string &Path, const std::string &Body) {
  outgoing_request Request;
  Request.Method = "POST";
  Request.Target = Path;
  Request.Body = Body;
  return call(std::move(Request));
}

std::pair<int, std::string> http_harness::fetch(const std::string &Path) {
  outgoing_request Request;
  Request.Target = Path;
  return call(std::move(Request));
}

std::pair<int, std::string> http_harness::call(outgoing_request Request) {
  Request.Server = Address;
  Request.Limit = Timeout;
  std::optional<http_answer> Result;
  const http_call Call(Base.get(), Request, [&](const http_answer &Answer) { Result = Answer; });
  while (!Result)
    step();
  return {Result->Status, Result->Body};
}

} // namespace briarpoint::test
