#include "config/config_json.h"
#include "ctl/ctl_options.h"
#include "tests/ctl/ctl_harness.h"

#include <gtest/gtest.h>

#include <fstream>

namespace briarpoint {
namespace {

using testing::TempDir;

configuration makeConfiguration(config_version Version, target_intent Intent) {
  const ip_address Address = *parseIpAddress("10.0.0.1");
  const target_config Target{"t1", "regina", {Address, 6081}, {Address, 8080}, 2, Intent};
  return {Version, {{"gate", service_id{7}, *parseIpAddress("192.0.2.1"), {{443}}, {Target}}}};
}

constexpr const char *StatusJson =
    R"({"name":"riga-a-1","data_centre":"riga-a","ready":true,"version":42,
  "members":[{"name":"riga-a-2","data_centre":"riga-a","state":"ready","incarnation":17,
              "suspected":true}],
  "targets":[{"service":"gate","name":"t1","health":"healthy","weight":0.5,"accepts_new":true,
              "open_flows":30},
             {"service":"gate","name":"t2","health":"draining","weight":0,"accepts_new":false,
              "open_flows":10}],
  "flows":{"records":40,"owned":20,"opened":100,"reset":2,"silent":1},
  "admitted":{"critical":5,"normal":6,"bulk":7},"rejected":{"critical":0,"normal":1,"bulk":8},
  "dropped":{"malformed":3,"no_service":0}})";

/// A balancer whose current configuration is version 5, with target gate/t1, and a patch file that
/// drains this target.
class balancer_at_version_5 : public testing::Test {
protected:
  balancer_at_version_5() {
    std::ofstream(PatchFile) << R"({"id":"p1","base":5,"operations":[{"operation":
      "set_target_intent","service":"gate","target":"t1","intent":"leaving"}]})";
    const std::string Current = toJson(makeConfiguration(5, target_intent::Active));
    Harness.setResponse("GET /v1/config", 200, Current);
    Harness.setResponse("GET /v1/config/5", 200, Current);
    Harness.setResponse("GET /v1/config/6", 200,
                        toJson(makeConfiguration(6, target_intent::Leaving)));
  }

  test::ctl_harness Harness;
  const std::string PatchFile = TempDir() + "patch-" +
                                testing::UnitTest::GetInstance()->current_test_info()->name() +
                                ".json";
};

// Guards against outcomes that a script cannot tell apart. In particular, an unknown outcome must
// not have the exit code of a refused patch.
TEST_F(balancer_at_version_5, EachOutcomeOfAPatchHasItsOwnExitCode) {
  struct row {
    const char *Name;
    /// HTTP status; 0 for no response.
    std::uint16_t Status;
    const char *Body;
    exit_code Code;
    const char *Text;
  };
  const row Rows[] = {
      {"accepted", 200, R"({"status":"accepted","version":6})", exit_code::Done,
       "Accepted as version 6 (patch p1)."},
      {"stale", 412, R"({"status":"stale","version":6})", exit_code::Stale,
       "Stale: the patch is against version 5, the current version is 6. Nothing was changed, and "
       "the patch is not resubmitted automatically.\n"
       "Changed in between:\n"
       "  target gate/t1: intent active -> leaving\n"},
      {"stale, the versions between are gone", 412, R"({"status":"stale","version":99})",
       exit_code::Stale, "Cannot show what changed in between: "},
      {"invalid", 422,
       R"({"status":"invalid","findings":[{"source":"patch","path":"operations[0]","message":"no"},
           "plain"]})",
       exit_code::Refused, "nothing was changed:\n  patch: operations[0]: no\n  plain\n"},
      {"token refused", 401, "", exit_code::Refused, "refused the token"},
      {"platform unavailable", 503, "{}", exit_code::Unreachable,
       "the platform is unavailable; nothing was changed"},
      {"unknown", 504, "{}", exit_code::OutcomeUnknown,
       "The outcome of patch p1 is unknown: it may have been accepted. Repeat it with the same "
       "id:\n  briarpointctl patch --file "},
      {"no answer", 0, "", exit_code::OutcomeUnknown, " --base 5 --id p1 --server 127.0.0.1:"},
      {"internal error", 500, "oops", exit_code::OutcomeUnknown, "unexpected status 500 oops"},
      {"accepted without a version", 200, "{}", exit_code::UnexpectedAnswer, "has no version"},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    if (Row.Status == 0)
      Harness.leaveUnanswered("POST /v1/patches");
    else
      Harness.setResponse("POST /v1/patches", Row.Status, Row.Body);
    Harness.Requests.clear();
    const auto Outcome = Harness.run({"patch", "--file", PatchFile});
    EXPECT_EQ(Outcome.Code, Row.Code);
    EXPECT_NE((Outcome.Out + Outcome.Err).find(Row.Text), std::string::npos)
        << Outcome.Out << Outcome.Err;
    // The patch is submitted once, whatever the outcome.
    EXPECT_EQ(std::count(Harness.Requests.begin(), Harness.Requests.end(), "POST /v1/patches"), 1);
  }
}

// Guards against JSON output without the outcome, or without the changes that made a patch stale.
TEST_F(balancer_at_version_5, JsonOutputNamesTheOutcome) {
  Harness.setResponse("POST /v1/patches", 412, R"({"status":"stale","version":6})");
  EXPECT_EQ(Harness.run({"patch", "--file", PatchFile, "--json"}).Out,
            "{\"base\":5,\"changes\":[\"target gate/t1: intent active -> leaving\"],\"status\":"
            "\"stale\",\"version\":6}\n");
  Harness.setResponse("POST /v1/patches", 200, R"({"version":6})");
  EXPECT_EQ(Harness.run({"patch", "--file", PatchFile, "--json"}).Out,
            "{\"id\":\"p1\",\"status\":\"accepted\",\"version\":6}\n");
}

// Guards against a dry run that submits the patch, or that shows changes other than those of the
// patch.
TEST_F(balancer_at_version_5, ADryRunShowsTheChangesAndSubmitsNothing) {
  Harness.setResponse("POST /v1/patches?dry_run=1", 200, R"({"status":"accepted","version":6})");
  const auto Outcome = Harness.run({"patch", "--file", PatchFile, "--dry-run"});
  EXPECT_EQ(Outcome.Code, exit_code::Done);
  EXPECT_EQ(Outcome.Out, "The patch is valid against version 5. It would change:\n"
                         "  target gate/t1: intent active -> leaving\n");
  EXPECT_EQ(std::count(Harness.Requests.begin(), Harness.Requests.end(), "POST /v1/patches"), 0);
  // A dry run changes nothing, so its outcome is certain even without an answer.
  Harness.leaveUnanswered("POST /v1/patches?dry_run=1");
  EXPECT_EQ(Harness.run({"patch", "--file", PatchFile, "--dry-run"}).Code, exit_code::Unreachable);
}

// Guards against a patch that is sent with the id or base of the file although options give others.
TEST_F(balancer_at_version_5, OptionsReplaceIdAndBaseOfTheFile) {
  Harness.setResponse("POST /v1/patches", 200, R"({"version":10})");
  EXPECT_EQ(Harness.run({"patch", "--file", PatchFile, "--id", "p2", "--base", "9"}).Code,
            exit_code::Done);
  const patch Sent = parsePatchJson(Harness.PostBody, "body");
  EXPECT_EQ(Sent.Id, "p2");
  EXPECT_EQ(Sent.Base, 9U);
}

// Guards against a drain whose base is not the current version, and against one that is resubmitted
// automatically after another operator's patch made it stale.
TEST_F(balancer_at_version_5, DrainIsAPatchAgainstTheCurrentVersion) {
  Harness.setResponse("POST /v1/patches", 200, R"({"version":6})");
  EXPECT_EQ(Harness.run({"drain", "gate/t1"}).Code, exit_code::Done);
  EXPECT_EQ(parsePatchJson(Harness.PostBody, "body"),
            (patch{"new-id", 5, {set_target_intent{"gate", "t1", target_intent::Leaving}}}));
  EXPECT_EQ(Harness.run({"undrain", "gate/t1"}).Code, exit_code::Done);
  EXPECT_EQ(parsePatchJson(Harness.PostBody, "body"),
            (patch{"new-id", 5, {set_target_intent{"gate", "t1", target_intent::Active}}}));

  Harness.setResponse("POST /v1/patches", 412, R"({"version":6})");
  Harness.Requests.clear();
  const auto Stale = Harness.run({"drain", "gate/t1"});
  EXPECT_EQ(Stale.Code, exit_code::Stale);
  EXPECT_EQ(std::count(Harness.Requests.begin(), Harness.Requests.end(), "POST /v1/patches"), 1);

  Harness.setResponse("POST /v1/patches", 504, "{}");
  const auto OutcomeUnknown = Harness.run({"drain", "gate/t1"});
  EXPECT_NE(OutcomeUnknown.Err.find("briarpointctl drain gate/t1 --base 5 --id new-id --server "),
            std::string::npos)
      << OutcomeUnknown.Err;
}

// Guards against a drain of a balancer that sends other requests, or reports success without an
// answer.
TEST_F(balancer_at_version_5, DrainOfABalancerRequestsThatItLeaves) {
  Harness.setResponse("POST /v1/leave", 200, "");
  EXPECT_EQ(Harness.run({"drain", "--balancer"}).Code, exit_code::Done);
  EXPECT_EQ(Harness.Requests, std::vector<std::string>{"POST /v1/leave"});
  EXPECT_EQ(Harness.run({"undrain", "--balancer"}).Code, exit_code::Usage);
  Harness.leaveUnanswered("POST /v1/leave");
  EXPECT_EQ(Harness.run({"drain", "--balancer"}).Code, exit_code::OutcomeUnknown);
}

// Guards against a wrong precedence of the three sources of the token, and against a token in the
// output.
TEST_F(balancer_at_version_5, TheTokenIsReadFromOptionElseVariableElseFile) {
  Harness.setResponse("POST /v1/leave", 200, "");
  const std::string TokenFile = TempDir() + "token";
  std::ofstream(TokenFile) << "from-file\n";
  Harness.run({"drain", "--balancer", "--token-file", TokenFile});
  EXPECT_EQ(Harness.PostAuthorization, "Bearer from-file");
  Harness.EnvironmentVariables["BRIARPOINT_TOKEN"] = "from-variable";
  Harness.run({"drain", "--balancer", "--token-file", TokenFile});
  EXPECT_EQ(Harness.PostAuthorization, "Bearer from-variable");
  Harness.setResponse("POST /v1/leave", 401, "");
  const auto Refused = Harness.run({"drain", "--balancer", "--token", "from-option"});
  EXPECT_EQ(Harness.PostAuthorization, "Bearer from-option");
  EXPECT_EQ(Refused.Code, exit_code::Refused);
  EXPECT_EQ((Refused.Out + Refused.Err).find("from-option"), std::string::npos);
}

// Guards against a run that fails although another balancer is reachable, and against a patch that
// is sent to a second balancer after the first one may have executed it.
TEST_F(balancer_at_version_5, TheNextServerIsTriedOnlyIfNothingWasSent) {
  const std::string Closed = test::ctl_harness::refusingAddress();
  EXPECT_EQ(Harness.run({"get", "--server", Closed}).Code, exit_code::Done);
  Harness.setResponse("POST /v1/patches", 200, R"({"version":6})");
  EXPECT_EQ(Harness.run({"patch", "--file", PatchFile, "--server", Closed}).Code, exit_code::Done);
  Harness.leaveUnanswered("POST /v1/patches");
  Harness.Requests.clear();
  EXPECT_EQ(Harness.run({"patch", "--file", PatchFile, "--server", Harness.address()}).Code,
            exit_code::OutcomeUnknown);
  EXPECT_EQ(Harness.Requests.size(), 1U);

  EXPECT_EQ(Harness.runExactly({"get", "--server", Closed}).Code, exit_code::Unreachable);
  EXPECT_EQ(Harness.runExactly({"patch", "--file", PatchFile, "--server", Closed}).Code,
            exit_code::Unreachable);
}

// Guards against a search that ends at a balancer that is starting or has no configuration.
TEST_F(balancer_at_version_5, GetAsksTheNextServerIfOneIsUnavailable) {
  const std::string Unavailable = Harness.startSecondServer(503, "joining");
  EXPECT_EQ(Harness.run({"get", "--server", Unavailable}).Code, exit_code::Done);
  EXPECT_EQ(Harness.Requests.size(), 1U);
  const std::string Refusing = Harness.startSecondServer(404, "none");
  EXPECT_EQ(Harness.run({"get", "--server", Refusing}).Code, exit_code::UnexpectedAnswer);
  EXPECT_EQ(Harness.Requests.size(), 1U);
}

// Guards against output that omits parts of the answer, and against success for a missing version.
TEST_F(balancer_at_version_5, GetDumpAndHistoryPrintTheAnswer) {
  EXPECT_EQ(Harness.run({"get", "6", "--json"}).Out,
            toJson(makeConfiguration(6, target_intent::Leaving)) + "\n");
  EXPECT_EQ(Harness.run({"get", "77"}).Code, exit_code::UnexpectedAnswer);
  Harness.setResponse("GET /v1/dump", 200, R"({"a":[1]})");
  EXPECT_EQ(Harness.run({"dump"}).Out, "{\n  \"a\": [\n    1\n  ]\n}\n");
  Harness.setResponse("GET /v1/history", 200,
                      R"({"history":[{"id":"p0","version":4},{"id":"p1","version":5}]})");
  EXPECT_EQ(Harness.run({"history"}).Out, "  VERSION  PATCH\n  5        p1\n  4        p0\n");
}

// Guards against values of the status that are missing or in the wrong column.
TEST_F(balancer_at_version_5, StatusIsPrintedAsTables) {
  Harness.setResponse("GET /v1/status", 200, StatusJson);
  const auto Outcome = Harness.run({"status"});
  EXPECT_EQ(Outcome.Code, exit_code::Done);
  EXPECT_EQ(Outcome.Out, "riga-a-1 (riga-a): ready, version 42\n"
                         "  flows: 40 records, 20 owned, 100 opened, 2 reset, 1 silent\n"
                         "  dropped packets: malformed 3\n"
                         "  CLASS     ADMITTED  REJECTED\n"
                         "  critical  5         0\n"
                         "  normal    6         1\n"
                         "  bulk      7         8\n"
                         "  MEMBER    DATA CENTRE  STATE  INCARNATION  SUSPECTED\n"
                         "  riga-a-2  riga-a       ready  17           yes\n"
                         "  TARGET   HEALTH    NEW FLOWS  WEIGHT  OPEN FLOWS  SHARE\n"
                         "  gate/t1  healthy   yes        0.50    30          75.0%\n"
                         "  gate/t2  draining  no         0.00    10          25.0%\n");
}

// Guards against an output of status that omits a balancer without an answer, and against a crash
// on a malformed status.
TEST_F(balancer_at_version_5, StatusNamesBalancersWithoutAnswer) {
  Harness.setResponse("GET /v1/status", 200, StatusJson);
  const std::string Closed = test::ctl_harness::refusingAddress();
  const auto Outcome = Harness.run({"status", "--server", Closed});
  EXPECT_EQ(Outcome.Code, exit_code::Unreachable);
  EXPECT_EQ(Outcome.Err, Closed + ": no status\n");
  EXPECT_TRUE(Outcome.Out.starts_with("riga-a-1"));
  for (const char *Malformed : {"", "[]", "{}", R"({"name":1})"}) {
    SCOPED_TRACE(Malformed);
    Harness.setResponse("GET /v1/status", 200, Malformed);
    EXPECT_EQ(Harness.run({"status"}).Code, exit_code::UnexpectedAnswer);
  }
}

// Guards against a watch that prints an unchanged status again, or exceeds its count.
TEST_F(balancer_at_version_5, WatchPrintsOnlyChanges) {
  Harness.setResponse("GET /v1/status", 200, StatusJson);
  const auto Outcome = Harness.run({"watch", "--count", "3"});
  EXPECT_EQ(Outcome.Code, exit_code::Done);
  EXPECT_EQ(Outcome.Out, Harness.run({"status"}).Out);
  EXPECT_EQ(Harness.Requests.size(), 4U);
}

// Guards against requests that are sent although the command line or the patch file is malformed.
TEST_F(balancer_at_version_5, UsageErrorsAreReportedBeforeAnyRequest) {
  const std::string Malformed = TempDir() + "malformed.toml";
  std::ofstream(Malformed) << "id = \n";
  struct row {
    std::vector<std::string> Arguments;
    exit_code Code;
    const char *Text;
  };
  const row Rows[] = {
      {{}, exit_code::Usage, "Usage:"},
      {{"drian"}, exit_code::Usage, "unknown command \"drian\""},
      {{"patch"}, exit_code::Usage, "patch needs --file"},
      {{"patch", "--file", "/nonexistent"},
       exit_code::Usage,
       "cannot read the file \"/nonexistent\""},
      {{"patch", "--file", Malformed}, exit_code::Refused, "malformed.toml:1:6: TOML syntax error"},
      {{"patch", "--base", "x"}, exit_code::Usage, ""},
      {{"drain"}, exit_code::Usage, "SERVICE/TARGET"},
      {{"drain", "gate"}, exit_code::Usage, "SERVICE/TARGET"},
      {{"drain", "gate/t1/x"}, exit_code::Usage, "SERVICE/TARGET"},
      {{"get", "x/../y"}, exit_code::Usage, "a version must be a whole number, got \"x/../y\""},
      {{"completion", "fish"}, exit_code::Usage, "bash only"},
      {{"status", "--server", "host:1"}, exit_code::Usage, "ADDRESS:PORT"},
      {{"status", "--timeout", "0"}, exit_code::Usage, "--timeout"},
      {{"status", "--colour"}, exit_code::Usage, "colour"},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(testing::PrintToString(Row.Arguments));
    const auto Outcome =
        Row.Arguments.empty() ? Harness.runExactly({}) : Harness.run(Row.Arguments);
    EXPECT_EQ(Outcome.Code, Row.Code);
    EXPECT_NE(Outcome.Err.find(Row.Text), std::string::npos) << Outcome.Err;
  }
  EXPECT_TRUE(Harness.Requests.empty());
}

// Guards against a command without help, examples or completion.
TEST_F(balancer_at_version_5, HelpShowsExamplesOfEachCommand) {
  for (const char *Command :
       {"patch", "get", "history", "status", "drain", "undrain", "dump", "watch", "completion"}) {
    SCOPED_TRACE(Command);
    const auto Outcome = Harness.runExactly({Command, "--help"});
    EXPECT_EQ(Outcome.Code, exit_code::Done);
    EXPECT_NE(Outcome.Out.find(std::string("\n  briarpointctl ") + Command), std::string::npos);
    EXPECT_NE(Harness.runExactly({"--help"}).Out.find(Command), std::string::npos);
    EXPECT_NE(Harness.runExactly({"completion", "bash"}).Out.find(Command), std::string::npos);
  }
  EXPECT_EQ(Harness.runExactly({"--version"}).Out, "briarpointctl 0.1.0\n");
}

} // namespace
} // namespace briarpoint
