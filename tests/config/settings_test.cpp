#include "config/settings.h"

#include "base/findings_error.h"

#include <gtest/gtest.h>

#include <iosfwd>

namespace briarpoint {
namespace {

constexpr const char *Valid = R"(name = "riga-a-1"
data_centre = "riga-a"
rack = "r1"
platform = "http://10.0.0.5:8500"
seeds = ["10.0.0.2:7001", "10.0.0.3:7001"]

[listen]
data = "10.0.0.1:6081"
control = "10.0.0.1:7001"
rpc = "10.0.0.1:7002"
operator = "0.0.0.0:7003"

[fabric]
name = "shop"
endpoint = "10.0.0.9:6081"

[secrets]
key = "0123456789abcdef0123456789abcdef"
hash_seed = "hash-seed-hash-seed"
operator_token = "operator-token-1"
)";

template <typename T>
concept printable = requires(std::ostream &Out, const T &Value) {
  Out << Value;
};
static_assert(!printable<secret>, "a secret must not have an output operator");
static_assert(!std::is_convertible_v<secret, std::string>);

std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = Valid;
  const std::size_t Position = Text.find(From);
  EXPECT_NE(Position, std::string::npos) << From;
  return Position == std::string::npos ? Text : Text.replace(Position, From.size(), To);
}

std::string findingsOf(const std::string &Text) {
  try {
    parseSettings(Text, "bp.toml");
  } catch (const findings_error &Error) {
    return Error.what();
  }
  return "";
}

// Guards against a field that is ignored or stored in the wrong setting.
TEST(settings_text, EachFieldIsRead) {
  const settings Settings = parseSettings(Valid, "bp.toml");
  EXPECT_EQ(Settings.Name, "riga-a-1");
  EXPECT_EQ(Settings.DataCentre, "riga-a");
  EXPECT_EQ(Settings.Rack, "r1");
  EXPECT_EQ(Settings.Platform, parseEndpoint("10.0.0.5:8500"));
  EXPECT_EQ(Settings.ControlPlane.Seeds.size(), 2U);
  EXPECT_EQ(toString(Settings.Data), "10.0.0.1:6081");
  EXPECT_EQ(toString(Settings.Operator), "0.0.0.0:7003");
  EXPECT_EQ(Settings.FabricName, "shop");
  EXPECT_EQ(Settings.OuterSources, std::vector{*parseIpAddress("10.0.0.9")});
  EXPECT_TRUE(Settings.Key.matches("0123456789abcdef0123456789abcdef"));
  EXPECT_FALSE(Settings.PreviousKey.has_value());
  EXPECT_TRUE(Settings.PlatformToken.empty());
  EXPECT_NE(Settings.DataPlane.HashSeed, 0U);
  EXPECT_EQ(Settings.ControlPlane.Self,
            (member_info{makeMemberId("riga-a-1"), "riga-a-1", "riga-a", "r1", Settings.Data,
                         Settings.Control, Settings.Rpc, 0, member_state::Joining}));
  EXPECT_EQ(Settings.ControlPlane.Scope, ownership_scope::DataCentre);
}

// Guards against a default in the parser that differs from the one in the header of the settings.
TEST(settings_text, MissingSectionsKeepTheDefaults) {
  const settings Settings = parseSettings(Valid, "bp.toml");
  data_plane_settings DataPlane;
  DataPlane.HashSeed = Settings.DataPlane.HashSeed;
  EXPECT_EQ(Settings.DataPlane, DataPlane);
  EXPECT_EQ(Settings.Limits, settings_limits{});
}

// Guards against values of optional sections that are ignored or read with a wrong unit.
TEST(settings_text, SectionsChangeTheDefaults) {
  const settings Settings = parseSettings(std::string(Valid) + R"(
[data_plane]
max_flows = 5000
tcp_idle = "36h"
load_epsilon = 0.5
[control_plane]
suspect_after = "2.5s"
slow_start = "1min"
[limits]
operator_connections = 7
platform_timeout = "250ms"
)",
                                          "bp.toml");
  EXPECT_EQ(Settings.DataPlane.MaxFlows, 5000U);
  EXPECT_EQ(Settings.DataPlane.TcpIdleTimeout, std::chrono::hours(36));
  EXPECT_EQ(Settings.DataPlane.LoadEpsilon, 0.5);
  EXPECT_EQ(Settings.ControlPlane.SuspectAfter, std::chrono::milliseconds(2500));
  EXPECT_EQ(Settings.ControlPlane.SlowStart, std::chrono::minutes(1));
  EXPECT_EQ(Settings.Limits.OperatorConnections, 7U);
  EXPECT_EQ(Settings.Limits.PlatformTimeout, std::chrono::milliseconds(250));
}

// Guards against an invalid setting that is accepted or reported at the wrong position.
TEST(settings_text, EachErrorIsReportedWithLineColumnAndPath) {
  struct row {
    const char *Name;
    std::string Text;
    const char *Findings;
  };
  const row Rows[] = {
      {"unknown field", replaced("rack = ", "racc = "),
       "bp.toml:3:8: racc: is not a known field; did you mean \"rack\"?"},
      {"unknown section", std::string(Valid) + "[limitz]\n",
       "bp.toml:21:1: limitz: is not a known field; did you mean \"limits\"?"},
      {"unknown field in a section", std::string(Valid) + "[data_plane]\ntcp_idel = \"1h\"\n",
       "bp.toml:22:12: data_plane.tcp_idel: is not a known field; did you mean \"tcp_idle\"?"},
      {"missing field", replaced("control = \"10.0.0.1:7001\"\n", ""),
       "bp.toml:7:1: listen.control: is missing"},
      {"missing section", replaced("[secrets]", "[secret]"),
       "bp.toml:1:1: secrets: is missing\n"
       "bp.toml:17:1: secret: is not a known field; did you mean \"secrets\"?"},
      {"host name", replaced("10.0.0.1:6081", "localhost:6081"),
       "bp.toml:8:8: listen.data: must be an address and port, such as \"192.0.2.1:80\" or "
       "\"[2001:db8::1]:80\""},
      {"peers can't reach it", replaced("10.0.0.1:7002", "0.0.0.0:7002"),
       "bp.toml:10:7: listen.rpc: must not be the unspecified address, because peers send to it"},
      {"one UDP endpoint twice", replaced("10.0.0.1:7001", "10.0.0.1:6081"),
       "bp.toml:9:11: listen.control: must differ from listen.data; both are UDP"},
      {"families that differ", replaced("10.0.0.9:6081", "[2001:db8::9]:6081"),
       "bp.toml:15:12: fabric.endpoint: must be of the same address family as listen.data"},
      {"platform by host name", replaced("http://10.0.0.5", "http://platform"),
       "bp.toml:4:12: platform: must be \"memory\" or a URL with an IP address, such as "
       "\"http://192.0.2.1:80\""},
      {"memory without a file", replaced("http://10.0.0.5:8500", "memory"),
       "bp.toml:1:1: configuration_file: must name a file if platform is \"memory\""},
      {"wrong seed", replaced("\"10.0.0.3:7001\"", "17"),
       "bp.toml:5:27: seeds[1]: must be an address and port, such as \"192.0.2.1:80\" or "
       "\"[2001:db8::1]:80\""},
      {"log level", replaced("[listen]", "log_level = \"loud\"\n[listen]"),
       "bp.toml:7:13: log_level: must be one of \"debug\" \"info\" \"warning\" \"error\""},
      {"duration without unit", replaced("[listen]", "shutdown_deadline = \"60\"\n[listen]"),
       "bp.toml:7:21: shutdown_deadline: must be a duration from \"1s\" to \"3600s\" with the unit "
       "ms, s, min or h"},
      {"duration too long", replaced("[listen]", "shutdown_deadline = \"2h\"\n[listen]"),
       "bp.toml:7:21: shutdown_deadline: must be a duration from \"1s\" to \"3600s\" with the unit "
       "ms, s, min or h"},
      {"number that isn't one", std::string(Valid) + "[data_plane]\nload_epsilon = nan\n",
       "bp.toml:22:16: data_plane.load_epsilon: must be a number from 0.001 to 1"},
      {"date for a text", replaced("rack = \"r1\"", "rack = 2026-12-04"),
       "bp.toml:3:8: rack: must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and "
       "'-'"},
      {"one lost heartbeat would suspect",
       std::string(Valid) + "[control_plane]\nsuspect_after = \"1.5s\"\npause_limit = \"1s\"\n",
       "bp.toml:22:17: control_plane.suspect_after: must be at least twice "
       "control_plane.heartbeat_interval"},
      {"pause longer than the peers wait",
       std::string(Valid) + "[control_plane]\npause_limit = \"5s\"\n",
       "bp.toml:22:15: control_plane.pause_limit: must not exceed the sum of suspect_after and "
       "dead_after, after which peers declare this process dead"},
      {"previous key is the key",
       replaced("hash_seed", "previous_key = \"0123456789abcdef0123456789abcdef\"\nhash_seed"),
       "bp.toml:19:16: secrets.previous_key: must differ from secrets.key"},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    EXPECT_EQ(findingsOf(Row.Text), Row.Findings);
  }
}

// Guards against a finding that contains a secret, which would be written to the log.
TEST(settings_text, FindingsNeverShowASecret) {
  const std::string Findings =
      findingsOf(replaced("0123456789abcdef0123456789abcdef", "hunter2-hunter2"));
  EXPECT_EQ(Findings, "bp.toml:18:7: secrets.key: must have at least 32 characters");
}

// Guards against syntax errors that are reported without their position.
TEST(settings_text, SyntaxErrorsHaveLineAndColumn) {
  for (const auto &[Text, Place] :
       {std::pair{"name = \n", "bp.toml:1:8: TOML syntax error: "},
        {"a = 1\na = 2\n", "bp.toml:2:5: TOML syntax error: "},
        {"a = 1\nb = [1, \"x\n", "bp.toml:2:11: TOML syntax error: "}}) {
    SCOPED_TRACE(Text);
    EXPECT_TRUE(findingsOf(Text).starts_with(Place)) << findingsOf(Text);
  }
}

// Guards against stack exhaustion by keys with many dots, whose depth the TOML library doesn't
// limit.
TEST(settings_text, DeepDocumentsAreRefused) {
  std::string Dotted = "a";
  for (int I = 0; I < 1'000'000; ++I)
    Dotted += ".a";
  EXPECT_EQ(findingsOf(Dotted + " = 1"), "bp.toml:1:130: has a key or text with more than 64 dots");
  EXPECT_NE(findingsOf("a = " + std::string(40, '[') + std::string(40, ']')).find("32 levels"),
            std::string::npos);
}

// Guards against a change that is reported as applied although it requires a restart, and against a
// restart that is requested without need.
TEST(settings_reload, ChangesThatRequireARestartAreReported) {
  struct row {
    const char *Name;
    std::string Text;
    std::vector<std::string> Paths;
  };
  const row Rows[] = {
      {"nothing", Valid, {}},
      {"log level", replaced("[listen]", "log_level = \"debug\"\n[listen]"), {}},
      {"shutdown deadline", replaced("[listen]", "shutdown_deadline = \"5s\"\n[listen]"), {}},
      {"key", replaced("0123456789abcdef", "fedcba9876543210"), {}},
      {"operator token", replaced("operator-token-1", "operator-token-2"), {}},
      {"limits", std::string(Valid) + "[limits]\noperator_connections = 9\n", {}},
      {"platform limits",
       std::string(Valid) + "[limits]\nplatform_timeout = \"1s\"\nplatform_watch = \"9s\"\n",
       {"limits.platform_timeout", "limits.platform_watch"}},
      {"platform token",
       replaced("hash_seed", "platform_token = \"platform-token-1\"\nhash_seed"),
       {"secrets.platform_token"}},
      {"name", replaced("riga-a-1", "riga-a-2"), {"name"}},
      {"data centre", replaced("\"riga-a\"", "\"riga-b\""), {"data_centre"}},
      {"rack", replaced("r1", "r2"), {"rack"}},
      {"data endpoint", replaced("10.0.0.1:6081", "10.0.0.1:6082"), {"listen.data"}},
      {"control endpoint", replaced("10.0.0.1:7001", "10.0.0.1:7009"), {"listen.control"}},
      {"rpc endpoint", replaced("10.0.0.1:7002", "10.0.0.1:7009"), {"listen.rpc"}},
      {"operator endpoint", replaced("0.0.0.0:7003", "0.0.0.0:7009"), {"listen.operator"}},
      {"fabric", replaced("10.0.0.9", "10.0.0.8"), {"fabric.endpoint", "fabric.outer_sources"}},
      {"fabric name", replaced("shop", "shop2"), {"fabric.name"}},
      {"scope", replaced("[secrets]", "scope = \"all\"\n[secrets]"), {"fabric.scope"}},
      {"platform", replaced("8500", "8501"), {"platform"}},
      {"seeds", replaced("10.0.0.3", "10.0.0.4"), {"seeds"}},
      {"hash seed", replaced("hash-seed-hash-seed", "hash-seed-hash-2seed"), {"secrets.hash_seed"}},
      {"data plane",
       std::string(Valid) + "[data_plane]\nudp_idle = \"9s\"\n",
       {"data_plane.udp_idle"}},
      {"control plane",
       std::string(Valid) + "[control_plane]\nslow_start = \"9s\"\n",
       {"control_plane.slow_start"}},
  };
  const settings Old = parseSettings(Valid, "bp.toml");
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    std::vector<std::string> Paths;
    for (const finding &Finding :
         findChangesRequiringRestart(Old, parseSettings(Row.Text, "bp.toml"), "new"))
      Paths.push_back(Finding.Path);
    EXPECT_EQ(Paths, Row.Paths);
  }
}

} // namespace
} // namespace briarpoint
