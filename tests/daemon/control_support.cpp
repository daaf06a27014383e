#include "tests/daemon/control_support.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <unistd.h>

#include <algorithm>

namespace briarpoint {

endpoint testEndpoint(std::uint8_t Host, std::uint16_t Port) {
  const auto Process = static_cast<unsigned>(getpid());
  endpoint Endpoint;
  Endpoint.Address.Bytes[0] = 127;
  Endpoint.Address.Bytes[1] = static_cast<std::uint8_t>(64 + (Process >> 8U) % 128);
  Endpoint.Address.Bytes[2] = static_cast<std::uint8_t>(Process);
  Endpoint.Address.Bytes[3] = Host;
  Endpoint.Port = Port;
  return Endpoint;
}

std::shared_ptr<test_http_client::pending> test_http_client::send(const endpoint &Server,
                                                                  const std::string &Method,
                                                                  const std::string &Target,
                                                                  const std::string &Body) {
  outgoing_request Request;
  Request.Server = Server;
  Request.Method = Method;
  Request.Target = Target;
  Request.Body = Body;
  Request.Headers["Authorization"] = "Bearer test-operator-token";
  Request.Limit = std::chrono::seconds(20);
  auto Pending = std::make_shared<pending>();
  Client.send(Request, [Pending](const std::optional<http_response> &Response) {
    Pending->Done = true;
    Pending->Result = Response;
  });
  return Pending;
}

control_task_fixture::control_task_fixture(std::uint8_t Host, const settings &Settings,
                                           event_loop &Loop, time_source &Clock,
                                           object_store &Store)
    : Random(Host), Log(std::make_shared<spdlog::logger>(
                            "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(LogText)),
                        Clock),
      Task(Settings, 1000U + Host, {Loop, Clock, Random, Store, Log, Commands, Reports}) {}

settings control_task_group::settingsOf(std::uint8_t Host) {
  settings Settings;
  Settings.Name = "balancer" + std::to_string(Host);
  Settings.DataCentre = "dc";
  Settings.Data = testEndpoint(Host, 6081);
  Settings.Control = testEndpoint(Host, 7001);
  Settings.Rpc = testEndpoint(Host, 7002);
  Settings.Operator = testEndpoint(Host, 7003);
  Settings.FabricName = "test";
  Settings.Fabric = testEndpoint(200, 6080);
  Settings.Key = secret("test-fabric-key-of-at-least-32-bytes");
  Settings.OperatorToken = secret("test-operator-token");
  Settings.PlatformToken = secret("test-platform-token");
  Settings.DataPlane.HashSeed = 0x5ec2e7;
  member_info &Self = Settings.ControlPlane.Self;
  Self.Id = makeMemberId(Settings.Name);
  Self.Name = Settings.Name;
  Self.DataCentre = Settings.DataCentre;
  Self.Data = Settings.Data;
  Self.Control = Settings.Control;
  Self.Rpc = Settings.Rpc;
  Settings.ControlPlane.Seeds = {testEndpoint(1, 7001)};
  return Settings;
}

control_task_group::control_task_group(std::uint8_t Count) {
  for (std::uint8_t Host = 1; Host <= Count; ++Host)
    Tasks.emplace_back(Host, settingsOf(Host), Loop, Clock, Store);
  for (control_task_fixture &Task : Tasks)
    Task.Task.start();
}

void control_task_group::round() {
  Clock.advance(std::chrono::milliseconds(50));
  Store.run(Clock.now());
  for (control_task_fixture &Task : Tasks) {
    Task.Task.tick();
    // The test answers in place of the packet task.
    for (const packet_command &Command : Task.Commands.popAll())
      if (const auto *Request = std::get_if<request_records>(&Command))
        Task.Reports.push(records_report{Request->Request, {flow_record{}}});
  }
  // Datagrams on loopback arrive at once. Each hop of a call takes one pass of the loop.
  constexpr int Passes = 12;
  for (int I = 0; I < Passes; ++I)
    Loop.runOnce(false);
}

bool control_task_group::runUntil(const std::function<bool()> &Condition) {
  for (int I = 0; I < 2400; ++I) {
    if (Condition())
      return true;
    round();
  }
  return false;
}

bool control_task_group::allReady() {
  return std::all_of(Tasks.begin(), Tasks.end(),
                     [](const control_task_fixture &Task) { return Task.Task.isReady(); });
}

http_response control_task_group::call(std::size_t Index, const std::string &Method,
                                       const std::string &Target, const std::string &Body) {
  const auto Pending = Http.send(Tasks[Index].Task.operatorEndpoint(), Method, Target, Body);
  EXPECT_TRUE(runUntil([&] { return Pending->Done; })) << Target;
  return Pending->Result.value_or(http_response{0, {}, ""});
}

} // namespace briarpoint
