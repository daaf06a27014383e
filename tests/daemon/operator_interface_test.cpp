#include "config/config_json.h"
#include "daemon/operator_interface.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarpoint {
namespace {

/// A fake daemon with version 3 in force. The test sets its outcomes.
class fake_backend final : public operator_backend {
public:
  fake_backend() {
    auto Config = std::make_shared<configuration>();
    Config->Version = 3;
    InForce = Config;
  }

  std::shared_ptr<const configuration> inForce() const override { return InForce; }
  void readEarlierConfiguration(
      config_version Version,
      std::function<void(std::shared_ptr<const configuration>)> Done) override {
    auto Config = std::make_shared<configuration>();
    Config->Version = Version;
    Done(Version == 2 ? Config : nullptr);
  }
  void readHistory(std::function<void(const std::optional<std::string> &)> Done) override {
    Done(History);
  }
  void submitPatch(const patch &Patch, std::function<void(const patch_outcome &)> Done) override {
    Submitted.push_back(Patch.Id);
    Done(Outcome);
  }
  std::string statusJson() override { return "{\"name\":\"b\"}"; }
  void dumpJson(std::function<void(const std::string &)> Done) override { Done("{}"); }
  std::string metricsText() override { return "metric 1\n"; }
  void leave() override { ++LeaveCount; }
  bool isReady() const override { return Ready; }
  void logRefusedRequest(const std::string &, int) override { ++Refused; }
  void logWrite(const std::string &) override { ++WriteCount; }

  std::shared_ptr<const configuration> InForce;
  std::optional<std::string> History = "{}";
  patch_outcome Outcome{patch_status::Accepted, 4, {}};
  std::vector<std::string> Submitted;
  bool Ready = true;
  int LeaveCount = 0;
  int Refused = 0;
  int WriteCount = 0;
};

class operator_interface_with_token : public testing::Test {
protected:
  http_response request(const std::string &Method, const std::string &Path,
                        const std::string &Body = "",
                        const std::string &Authorization = "Bearer token") {
    incoming_request Request{Method, Path, {}, {{"authorization", Authorization}}, Body};
    const std::size_t Question = Path.find("?dry_run=1");
    if (Question != std::string::npos) {
      Request.Path = Path.substr(0, Question);
      Request.Query["dry_run"] = "1";
    }
    std::optional<http_response> Result;
    Interface.handle(Request, [&](const http_response &Response) { Result = Response; });
    EXPECT_TRUE(Result) << Path;
    return Result.value_or(http_response{});
  }

  static std::string patchText(config_version Base) {
    patch Patch;
    Patch.Id = "p1";
    Patch.Base = Base;
    service_config Service;
    Service.Name = "gate";
    Service.Id = service_id{5};
    Service.Address = *parseIpAddress("203.0.113.1");
    Service.Ports = {{80, transport::Tcp, request_class::Normal}};
    Patch.Operations = {put_service{Service}};
    return toJson(Patch);
  }

  fake_backend Backend;
  operator_interface Interface{"token", Backend};
};

// Guards against a missing or misplaced path, and against writes by the wrong method.
TEST_F(operator_interface_with_token, answersEveryPath) {
  struct row {
    const char *Method;
    const char *Path;
    int Status;
  };
  const row Rows[] = {
      {"GET", "/v1/config", 200},
      {"GET", "/v1/config/3", 200},
      {"GET", "/v1/config/2", 200},
      {"GET", "/v1/config/9", 404},
      {"GET", "/v1/config/x", 400},
      {"GET", "/v1/config/-1", 400},
      {"GET", "/v1/config/", 400},
      {"GET", "/v1/config/99999999999999999999", 400},
      {"GET", "/v1/history", 200},
      {"GET", "/v1/status", 200},
      {"GET", "/v1/dump", 200},
      {"GET", "/healthz", 200},
      {"GET", "/readyz", 200},
      {"GET", "/metrics", 200},
      {"GET", "/", 404},
      {"GET", "/v1/patches", 404},
      {"GET", "/v1/leave", 404},
      {"POST", "/v1/config", 404},
      {"DELETE", "/v1/config", 405},
      {"POST", "/v1/leave", 202},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(std::string(Row.Method) + " " + Row.Path);
    EXPECT_EQ(request(Row.Method, Row.Path).Status, Row.Status);
  }
  EXPECT_EQ(Backend.LeaveCount, 1);
  EXPECT_EQ(request("GET", "/v1/config").Headers.at("Config-Version"), "3");
}

// Guards against reporting success when the daemon isn't ready or the platform is unreachable.
TEST_F(operator_interface_with_token, reportsUnavailability) {
  Backend.Ready = false;
  Backend.History.reset();
  EXPECT_EQ(request("GET", "/readyz").Status, 503);
  EXPECT_EQ(request("GET", "/healthz").Status, 200);
  EXPECT_EQ(request("GET", "/v1/history").Status, 503);
}

// Guards against writes by clients without the token.
TEST_F(operator_interface_with_token, refusesWritesWithoutToken) {
  const char *const Faults[] = {"",
                                "Bearer",
                                "Bearer ",
                                "Bearer toke",
                                "token",
                                "Bearer Token",
                                "Bearer token ",
                                "bearer token",
                                "Basic token",
                                "Bearer tokentoken"};
  for (const char *Fault : Faults) {
    SCOPED_TRACE(Fault);
    EXPECT_EQ(request("POST", "/v1/patches", patchText(3), Fault).Status, 401);
    EXPECT_EQ(request("POST", "/v1/leave", "", Fault).Status, 401);
  }
  EXPECT_TRUE(Backend.Submitted.empty());
  EXPECT_EQ(Backend.LeaveCount, 0);
  EXPECT_EQ(Backend.Refused, 20);
}

// Guards against writes without authorization when no token is set.
TEST_F(operator_interface_with_token, refusesWritesIfThereIsNoToken) {
  Interface.setToken("");
  EXPECT_EQ(request("POST", "/v1/leave", "", "Bearer ").Status, 401);
  EXPECT_EQ(Backend.LeaveCount, 0);
}

// Guards against an outcome that is reported as another one.
TEST_F(operator_interface_with_token, reportsEveryOutcome) {
  struct row {
    patch_status Outcome;
    int Status;
    const char *Text;
  };
  const row Rows[] = {{patch_status::Accepted, 200, "accepted"},
                      {patch_status::Stale, 412, "stale"},
                      {patch_status::Invalid, 422, "invalid"},
                      {patch_status::Unavailable, 503, "unavailable"},
                      {patch_status::Unknown, 504, "unknown"}};
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Text);
    Backend.Outcome = {Row.Outcome, 4, {{"patch", 1, 2, "a.b", "wrong"}}};
    const http_response Response = request("POST", "/v1/patches", patchText(3));
    EXPECT_EQ(Response.Status, Row.Status);
    const nlohmann::json Body = nlohmann::json::parse(Response.Body);
    EXPECT_EQ(Body["status"], Row.Text);
    EXPECT_EQ(Body["version"], 4);
    EXPECT_EQ(Body["findings"][0]["path"], "a.b");
    EXPECT_EQ(Body["findings"][0]["message"], "wrong");
  }
  EXPECT_EQ(Backend.Submitted.size(), 5U);
}

// Guards against malformed patches that reach the control plane or are answered without findings.
TEST_F(operator_interface_with_token, refusesMalformedPatches) {
  const std::string Faults[] = {
      "", "{", "[]", "null", "{\"id\":7}", "\xff\xfe", std::string(10000, '[')};
  for (const std::string &Fault : Faults) {
    SCOPED_TRACE(Fault.substr(0, 20));
    const http_response Response = request("POST", "/v1/patches", Fault);
    EXPECT_EQ(Response.Status, 422);
    EXPECT_FALSE(nlohmann::json::parse(Response.Body)["findings"].empty());
  }
  EXPECT_TRUE(Backend.Submitted.empty());
}

// Guards against a dry run that writes, or that reports another outcome than the patch would have.
TEST_F(operator_interface_with_token, checksPatchesWithoutWriting) {
  EXPECT_EQ(request("POST", "/v1/patches?dry_run=1", patchText(3)).Status, 200);
  EXPECT_EQ(request("POST", "/v1/patches?dry_run=1", patchText(2)).Status, 412);
  EXPECT_EQ(request("POST", "/v1/patches?dry_run=1",
                    R"({"id":"p","base":3,"operations":[{"op":"remove_service","service":"x"}]})")
                .Status,
            422);
  EXPECT_TRUE(Backend.Submitted.empty());
  EXPECT_EQ(Backend.WriteCount, 0);
}

} // namespace
} // namespace briarpoint
