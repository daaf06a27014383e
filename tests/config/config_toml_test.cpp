#include "config/config_toml.h"

#include "base/findings_error.h"
#include "config/config_json.h"
#include "config/config_text.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

constexpr const char *Configuration = R"([[services]]
name = "gate"
id = 7
address = "192.0.2.1"
ports = [{ port = 443, class = "critical" }]

[[services.targets]]
name = "t1"
data_centre = "regina"
tunnel = "10.0.0.1:6081"
health = "10.0.0.1:8080"
slots = 2

[[services.targets]]
name = "t2"
data_centre = "regina"
tunnel = "10.0.0.1:6081"
health = "10.0.0.1:8080"
slots = 2
)";

template <typename T> std::string findingsOf(const T &Parse) {
  try {
    Parse();
  } catch (const findings_error &Error) {
    return Error.what();
  }
  return "";
}

// Guards against a TOML reader that returns other values than the JSON reader.
TEST(config_toml, ReadsTheSameAsJson) {
  std::string Text = Configuration;
  Text.replace(Text.rfind(":6081"), 5, ":6082");
  const configuration FromToml = parseConfigurationToml(Text, "c.toml");
  EXPECT_EQ(FromToml, parseConfigurationJson(toJson(FromToml), "c.json"));
  EXPECT_EQ(FromToml.Services.at(0).Targets.at(1).Tunnel, parseEndpoint("10.0.0.1:6082"));
}

// Guards against findings of the validation without line and column, or with those of another
// target.
TEST(config_toml, FindingsOfTheValidationHaveLineAndColumn) {
  EXPECT_EQ(findingsOf([] { parseConfigurationToml(Configuration, "c.toml"); }),
            "c.toml:17:10: services[0].targets[1].tunnel: is the same as "
            "services[0].targets[0].tunnel");
}

// Guards against findings about a patch without the line and column of the value.
TEST(config_toml, PatchFindingsHaveLineAndColumn) {
  const char *Patch = "id = \"p\"\nbase = -1\n[[operations]]\noperation = \"put_target\"\n"
                      "service = \"gate\"\ntarget = 3\n";
  EXPECT_EQ(findingsOf([&] { parsePatchToml(Patch, "p.toml"); }),
            "p.toml:2:8: base: must be an integer from 0 to 18446744073709551615\n"
            "p.toml:6:10: operations[0].target: must be a table of fields");
}

// Guards against a patch that is sent with another id or base than the operator gave on the command
// line.
TEST(patch_text, HeaderValuesReplaceThoseOfTheText) {
  struct row {
    const char *Name;
    const char *Text;
    patch_header Header;
    patch Expected;
  };
  const char *Both = "id = \"file\"\nbase = 4\noperations = []";
  const char *Neither = "operations = []";
  const row Rows[] = {
      {"none given", Both, {}, {"file", 4, {}}},
      {"both given", Both, {"option", 5, "default"}, {"option", 5, {}}},
      {"default isn't used over the text", Both, {std::nullopt, 5, "default"}, {"file", 5, {}}},
      {"text lacks both", Neither, {"option", 5, {}}, {"option", 5, {}}},
      {"default id", Neither, {std::nullopt, 5, "default"}, {"default", 5, {}}},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    EXPECT_EQ(parsePatchText(Row.Text, "p.toml", Row.Header), Row.Expected);
  }
  EXPECT_EQ(findingsOf([&] { parsePatchText(Neither, "p.toml", {}); }),
            "p.toml:1:1: id: is missing\np.toml:1:1: base: is missing");
  EXPECT_EQ(parsePatchText(R"({"operations":[]})", "p.json", {"a", 1, {}}), (patch{"a", 1, {}}));
}

} // namespace
} // namespace briarpoint
