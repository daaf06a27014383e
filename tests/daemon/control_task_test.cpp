#include "config/config_json.h"
#include "io/socket_address.h"
#include "io/sockets.h"
#include "peer/peer_codec.h"
#include "standins/target_standin.h"
#include "tests/daemon/control_support.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarpoint {
namespace {

/// A patch against version 0 with one service and one target whose health endpoint is \p Health.
std::string servicePatch(const endpoint &Health) {
  service_config Service;
  Service.Name = "gate";
  Service.Id = service_id{5};
  Service.Address = *parseIpAddress("203.0.113.1");
  Service.Ports = {{80, transport::Tcp, request_class::Critical}};
  target_config Target;
  Target.Name = "gate-1";
  Target.DataCentre = "dc";
  Target.Tunnel = testEndpoint(100, 6081);
  Target.Health = Health;
  Service.Targets = {Target};
  patch Patch;
  Patch.Id = "add-gate";
  Patch.Operations = {put_service{Service}};
  return toJson(Patch);
}

/// Three balancers that are ready.
class control_task_group_ready : public testing::Test {
protected:
  control_task_group_ready() {
    EXPECT_TRUE(Group.runUntil([this] { return Group.allReady(); }));
  }

  nlohmann::json status(std::size_t Index) {
    return nlohmann::json::parse(Group.call(Index, "GET", "/v1/status").Body);
  }

  /// Sends a datagram to the control endpoint of the first balancer.
  void sendToControl(const std::string &Bytes) {
    const file_descriptor Socket = openUdpSocket(testEndpoint(150, 9000));
    const socket_address Address = toSocketAddress(Group.Tasks[0].Task.controlEndpoint());
    sendto(Socket.get(), Bytes.data(), Bytes.size(), 0, Address.get(), Address.Size);
    Group.round();
  }

  std::uint64_t refused(const std::string &Reason) {
    const auto &Refused = Group.Tasks[0].Task.counters().Refused;
    const auto Found = Refused.find(Reason);
    return Found == Refused.end() ? 0 : Found->second;
  }

  control_task_group Group{3};
};

// Guards against members that don't find each other over real sockets.
TEST_F(control_task_group_ready, listsAllMembers) {
  for (std::size_t I = 0; I < 3; ++I) {
    ASSERT_TRUE(Group.runUntil([&] {
      const nlohmann::json Members = status(I)["members"];
      return Members.size() == 3 && Members[0]["state"] == "ready" &&
             Members[1]["state"] == "ready" && Members[2]["state"] == "ready";
    }));
    EXPECT_EQ(Group.call(I, "GET", "/readyz").Status, 200);
  }
}

// Guards against a patch that doesn't reach every balancer, by platform, peers and JSON-RPC.
TEST_F(control_task_group_ready, distributesPatches) {
  const http_response Response =
      Group.call(1, "POST", "/v1/patches", servicePatch(testEndpoint(100, 8080)));
  EXPECT_EQ(Response.Status, 200) << Response.Body;
  for (std::size_t I = 0; I < 3; ++I) {
    EXPECT_TRUE(Group.runUntil([&] { return status(I)["version"] == 1; }));
    EXPECT_EQ(Group.call(I, "GET", "/v1/config").Headers.at("config-version"), "1");
    const auto History = nlohmann::json::parse(Group.call(I, "GET", "/v1/history").Body);
    EXPECT_EQ(History["version"], 1);
    EXPECT_EQ(History["history"], nlohmann::json::parse(R"([{"id":"add-gate","version":1}])"));
    EXPECT_EQ(Group.call(I, "GET", "/v1/config/0").Status, 200);
    EXPECT_EQ(Group.call(I, "GET", "/v1/config/2").Status, 404);
  }
  const http_response Stale =
      Group.call(0, "POST", "/v1/patches", servicePatch(testEndpoint(100, 8081)));
  // A patch with a known id counts as the same patch; another id against version 0 is stale.
  EXPECT_EQ(Stale.Status, 200);
  std::string Other = servicePatch(testEndpoint(100, 8081));
  Other.replace(Other.find("add-gate"), 8, "add-late");
  EXPECT_EQ(Group.call(0, "POST", "/v1/patches", Other).Status, 412);
}

// Guards against a drain that a target announces and that doesn't reach every balancer.
TEST_F(control_task_group_ready, propagatesDrains) {
  target_standin Target({"gate-1", 5, 2, {}}, Group.Clock.now());
  http_server Health(Group.Loop, testEndpoint(100, 8080), {},
                     [&](const incoming_request &, const http_responder &Respond) {
                       Respond({200, {}, Target.health(Group.Clock.now())});
                     });
  Group.call(0, "POST", "/v1/patches", servicePatch(testEndpoint(100, 8080)));
  const auto AllReport = [&](const char *HealthText, bool AcceptsNew) {
    for (std::size_t I = 0; I < 3; ++I) {
      const nlohmann::json Targets = status(I)["targets"];
      if (Targets.size() != 1 || Targets[0]["health"] != HealthText ||
          Targets[0]["accepts_new"] != AcceptsNew)
        return false;
    }
    return true;
  };
  EXPECT_TRUE(Group.runUntil([&] { return AllReport("healthy", true); }));
  Target.setFaults(R"({"draining":true})", Group.Clock.now());
  EXPECT_TRUE(Group.runUntil([&] { return AllReport("draining", false); }));
  EXPECT_GT(Group.Tasks[0].Task.counters().Probes.at("answered"), 0U);
}

// Guards against secrets in the dump, the status, the metrics or the log.
TEST_F(control_task_group_ready, showsNoSecrets) {
  Group.call(0, "POST", "/v1/patches", servicePatch(testEndpoint(100, 8080)));
  const std::string Dump = Group.call(0, "GET", "/v1/dump").Body;
  EXPECT_EQ(nlohmann::json::parse(Dump)["records"].size(), 1U);
  const std::string Texts[] = {Dump, Group.call(0, "GET", "/v1/status").Body,
                               Group.call(0, "GET", "/metrics").Body, Group.Tasks[0].LogText.str()};
  const settings Settings = control_task_group::settingsOf(1);
  for (const std::string &Text : Texts) {
    EXPECT_FALSE(Text.empty());
    for (const std::string &Secret :
         {Settings.Key.reveal(), Settings.OperatorToken.reveal(), Settings.PlatformToken.reveal(),
          std::to_string(Settings.DataPlane.HashSeed)})
      EXPECT_EQ(Text.find(Secret), std::string::npos);
  }
}

// Guards against forged and malformed peer messages that are accepted or end the process.
TEST_F(control_task_group_ready, refusesBadPeerMessages) {
  authenticator_settings ValidSettings;
  ValidSettings.Fabric = "test";
  ValidSettings.Keys = {control_task_group::settingsOf(1).Key.reveal()};
  ValidSettings.Sender = makeMemberId("stranger");
  ValidSettings.Incarnation = 1;
  authenticator_settings WrongKey = ValidSettings;
  WrongKey.Keys = {"another-key-of-at-least-32-characters"};
  authenticator_settings WrongFabric = ValidSettings;
  WrongFabric.Fabric = "other";
  const std::string Payload = encodePeerMessage(record_batch{});
  const std::string ValidMessage = message_authenticator(ValidSettings).seal(Payload);
  std::string FlippedBit = ValidMessage;
  FlippedBit[FlippedBit.size() / 2] = static_cast<char>(FlippedBit[FlippedBit.size() / 2] ^ 1);
  struct fault {
    const char *Name;
    std::string Bytes;
    const char *Reason;
  };
  const fault Faults[] = {
      {"empty", "", "authentication"},
      {"noise", std::string(100, 'x'), "authentication"},
      {"unsigned", Payload, "authentication"},
      {"too long", std::string(5000, 'x'), "authentication"},
      {"flipped bit", FlippedBit, "authentication"},
      {"truncated", ValidMessage.substr(0, ValidMessage.size() - 1), "authentication"},
      {"wrong key", message_authenticator(WrongKey).seal(Payload), "authentication"},
      {"wrong fabric", message_authenticator(WrongFabric).seal(Payload), "authentication"},
      {"signed noise", message_authenticator(ValidSettings).seal("noise"), "malformed"},
  };
  for (const fault &Fault : Faults) {
    SCOPED_TRACE(Fault.Name);
    const std::uint64_t Before = refused(Fault.Reason);
    sendToControl(Fault.Bytes);
    EXPECT_EQ(refused(Fault.Reason), Before + 1);
  }
  EXPECT_EQ(Group.call(0, "GET", "/readyz").Status, 200);
}

// Guards against a request to leave that isn't executed, or a stop that never completes.
TEST_F(control_task_group_ready, leavesOnRequest) {
  bool Ended = false;
  control_task &Task = Group.Tasks[2].Task;
  Task.onLeave([&] { Task.beginStop([&] { Ended = true; }); });
  EXPECT_EQ(Group.call(2, "POST", "/v1/leave").Status, 202);
  EXPECT_TRUE(Group.runUntil([&] { return Ended; }));
  EXPECT_TRUE(Group.runUntil([&] {
    const auto Status = status(0);
    for (const auto &Member : Status["members"])
      if (Member["name"] == "balancer3")
        return Member["state"] == "leaving" || Member["state"] == "dead";
    return true;
  }));
}

// Guards against a key change that locks balancers out of the fabric.
TEST_F(control_task_group_ready, changesKeysWithoutLosingMembers) {
  settings New = control_task_group::settingsOf(1);
  New.PreviousKey = New.Key;
  New.Key = secret("new-fabric-key-of-at-least-32-bytes!!");
  New.OperatorToken = secret("new-operator-token");
  for (control_task_fixture &Fixture : Group.Tasks)
    Fixture.Task.applySettings(New, 5000);
  for (int I = 0; I < 200; ++I)
    Group.round();
  for (std::size_t I = 0; I < 3; ++I) {
    const auto Status = status(I);
    for (const auto &Member : Status["members"])
      EXPECT_FALSE(Member["suspected"]);
  }
  EXPECT_EQ(refused("authentication"), 0U);
  EXPECT_EQ(Group.call(0, "POST", "/v1/leave").Status, 401)
      << "the old token must not be valid any more";
}

// Guards against the loss of messages between the tasks.
TEST_F(control_task_group_ready, passesMessagesBetweenTasks) {
  control_task_fixture &First = Group.Tasks[0];
  counters_report Counters;
  Counters.DataPlane.FlowsReset = 17;
  Counters.Task.UnknownSource = 3;
  First.Reports.push(Counters);
  const flow_record Record{{1, 2}, target_id{3}, service_id{5}, 4, 100, 1};
  First.Reports.push(outgoing_records{makeMemberId("balancer2"), {Record}});
  bool Stored = false;
  const auto Check = [&] {
    for (const packet_command &Command : Group.Tasks[1].Commands.popAll())
      if (const auto *Store = std::get_if<store_records>(&Command))
        Stored = Stored || (Store->Records.size() == 1 && Store->Records[0].Id == Record.Id);
    return Stored;
  };
  for (int I = 0; I < 20 && !Stored; ++I) {
    Group.Loop.runOnce(false);
    Check();
  }
  EXPECT_TRUE(Stored);
  EXPECT_EQ(status(0)["flows"]["reset"], 17);
  EXPECT_EQ(status(0)["dropped"]["unknown_source"], 3);
  EXPECT_NE(First.LogText.str().find("name=packets_refused"), std::string::npos);
}

} // namespace
} // namespace briarpoint
