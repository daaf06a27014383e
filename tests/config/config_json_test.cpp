#include "base/findings_error.h"
#include "config/config_json.h"
#include "tests/config/generators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint {
namespace {

constexpr const char *ValidService = R"({"name":"gate","id":7,"address":"192.0.2.1",
  "ports":[{"port":443,"class":"critical"}],
  "targets":[{"name":"t1","data_centre":"regina","tunnel":"10.0.0.1:6081",
              "health":"10.0.0.1:8080","slots":2}]})";

/// Returns the findings of a parse function as text, one per line; empty if there are none.
template <typename T> std::string findingsOf(T Parse, const std::string &Text) {
  try {
    Parse(Text, "input");
  } catch (const findings_error &Error) {
    return Error.what();
  }
  return "";
}

// Guards against a field that is lost or changed by encoding and decoding.
RC_GTEST_PROP(config_json, ConfigurationRoundTrip, ()) {
  const configuration Configuration = *test::validConfiguration();
  RC_ASSERT(parseConfigurationJson(toJson(Configuration), "input") == Configuration);
}

// Guards against a field of a patch that is lost or changed by encoding and decoding.
RC_GTEST_PROP(config_json, PatchRoundTrip, ()) {
  const patch Patch{"id-1", *rc::gen::arbitrary<config_version>(), *test::anyOperations()};
  RC_ASSERT(parsePatchJson(toJson(Patch), "input") == Patch);
}

// Guards against defaults that differ from those in the headers.
TEST(config_json, OptionalFieldsHaveDefaults) {
  const service_config Service = parseServiceJson(ValidService, "input");
  EXPECT_EQ(Service.Ports.at(0).Protocol, transport::Tcp);
  EXPECT_EQ(Service.Ports.at(0).Class, request_class::Critical);
  EXPECT_EQ(Service.Targets.at(0).Intent, target_intent::Active);
}

// Guards against malformed input that is accepted, crashes the parser, or is reported without its
// position.
TEST(config_json, MalformedInputIsReportedWithItsPosition) {
  struct row {
    const char *Name;
    std::string Text;
    const char *Findings;
  };
  const std::string Service = ValidService;
  const auto WithService = [](const std::string &Text) { return R"({"services":[)" + Text + "]}"; };
  const auto Replaced = [&](const std::string &From, const std::string &To) {
    std::string Text = Service;
    Text.replace(Text.find(From), From.size(), To);
    return WithService(Text);
  };
  const row Rows[] = {
      {"empty text", "", "input:1:1: JSON syntax error near \"\""},
      {"syntax error on line 2", "{\n \"services\": [}",
       "input:2:15: JSON syntax error near \"\"services\": [}\""},
      {"two documents", "{} {}", "input:1:4: JSON syntax error near \"{} {\""},
      {"not a table", "[]", "input: must be a table of fields"},
      {"missing field", "{}", "input: services: is missing"},
      {"field twice", R"({"version":1,"version":2,"services":[]})",
       "input: version: appears twice in one object"},
      {"unknown field with a near name", R"({"servces":[],"services":[]})",
       "input: servces: is not a known field; did you mean \"services\"?"},
      {"unknown field", R"({"services":[],"colour":1})", "input: colour: is not a known field"},
      {"version below 0", R"({"version":-1,"services":[]})",
       "input: version: must be an integer from 0 to 18446744073709551615"},
      {"version above 64 bits", R"({"version":18446744073709551616,"services":[]})",
       "input: version: must be an integer from 0 to 18446744073709551615"},
      {"wrong type", Replaced("443", "\"443\""),
       "input: services[0].ports[0].port: must be an integer from 1 to 65535"},
      {"port 0", Replaced("443", "0"),
       "input: services[0].ports[0].port: must be an integer from 1 to 65535"},
      {"unknown class", Replaced("critical", "urgent"),
       "input: services[0].ports[0].class: must be one of \"critical\" \"normal\" \"bulk\""},
      {"name with a space", Replaced("\"gate\"", "\"the gate\""),
       "input: services[0].name: must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' "
       "and '-'"},
      {"no ports", Replaced(R"({"port":443,"class":"critical"})", ""),
       "input: services[0].ports: must have 1 to 1024 elements"},
      {"no slots", Replaced("\"slots\":2", "\"slots\":0"),
       "input: services[0].targets[0].slots: must be an integer from 1 to 1000000"},
      {"unspecified address", Replaced("192.0.2.1", "0.0.0.0"),
       "input: services[0].address: must not be the unspecified address"},
      {"two services that are alike", WithService(Service + "," + Service),
       "input: services[1].name: is the same as services[0].name\n"
       "input: services[1].id: is the same as services[0].id\n"
       "input: services[1].ports[0]: is the same as services[0].ports[0]\n"
       "input: services[1].targets[0].tunnel: is the same as services[0].targets[0].tunnel"},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    EXPECT_EQ(findingsOf(parseConfigurationJson, Row.Text), Row.Findings);
  }
}

// Guards against a reader that stops at the first finding.
TEST(config_json, AllFindingsAreReportedAtOnce) {
  EXPECT_EQ(findingsOf(parsePatchJson, R"({"id":"a b","operations":[
      {"operation":"remove_target","service":"s"},
      {"operation":"put_everything"},
      {"operation":"set_target_intent","service":"s","target":"t","intent":"gone"}]})"),
            "input: id: must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'\n"
            "input: base: is missing\n"
            "input: operations[0].target: is missing\n"
            "input: operations[1].operation: must be one of \"put_service\" \"remove_service\" "
            "\"put_target\" \"remove_target\" \"set_target_intent\"\n"
            "input: operations[2].intent: must be one of \"active\" \"leaving\"");
}

// Guards against unbounded recursion and quadratic time on hostile input.
TEST(config_json, DeepAndWideInputIsRefused) {
  EXPECT_EQ(findingsOf(parseConfigurationJson, std::string(100'000, '[')),
            "input: is nested more than 32 levels deep");
  std::string Wide = "{";
  for (int I = 0; I < 1000; ++I)
    Wide += "\"f" + std::to_string(I) + "\":1,";
  EXPECT_EQ(findingsOf(parseConfigurationJson, Wide + "\"g\":1}"),
            "input: has an object of more than 256 fields");
}

// Guards against services in another order than by name. Equal configurations would then have
// different parts.
TEST(config_json, ServicesAreOrderedByName) {
  const std::string Other =
      R"({"name":"a","id":8,"address":"192.0.2.1","ports":[{"port":1}],"targets":[]})";
  const configuration Configuration = parseConfigurationJson(
      R"({"services":[)" + std::string(ValidService) + "," + Other + "]}", "input");
  EXPECT_EQ(Configuration.Services.at(0).Name, "a");
}

} // namespace
} // namespace briarpoint
