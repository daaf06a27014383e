#include "platform/store_object_format.h"

#include "base/findings_error.h"
#include "config/json_reader.h"
#include "platform/http_object_api.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarpoint::platform {
namespace {

stored_object object(const std::string &Name, const std::string &Json) {
  return {Name, 3, 9, readJson(Json, "test")};
}

/// Returns the findings about an object; empty if it was read.
template <typename T> std::vector<std::string> findingsOf(T &&Parse) {
  std::vector<std::string> Result;
  try {
    Parse();
  } catch (const findings_error &Error) {
    for (const finding &Finding : Error.findings())
      Result.push_back(toString(Finding));
  }
  return Result;
}

class stored_registrations : public testing::Test {
protected:
  store_object_format Format;
};

// Guards against a deviation from the platform's format. The entry is that of its documentation.
TEST_F(stored_registrations, areReadInTheDocumentedFormat) {
  const target_registration Registration = Format.parseRegistration(
      object("i-7f3a91c2",
             R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"regina","version":"v1",
          "max_concurrency":2,"state":"draining","warmup_left_ms":700,"sequence":4,"born":12,"x":{}})"));
  EXPECT_EQ(Registration.Name, "i-7f3a91c2");
  EXPECT_EQ(Registration.Number, 0x7f3a91c2U);
  EXPECT_EQ(Registration.Service, "huvo11a");
  EXPECT_EQ(toString(Registration.Address), "10.128.0.9:8080");
  EXPECT_EQ(Registration.DataCentre, "regina");
  EXPECT_EQ(Registration.Slots, 2U);
  EXPECT_TRUE(Registration.Draining);
  EXPECT_EQ(Registration.WarmUpMs, 700U);
  EXPECT_EQ(Registration.StartedMs, 12U);
  EXPECT_EQ(Registration.Revision, 9U);
}

// Guards against using a host from a malformed entry that another program wrote. Each malformed
// entry is refused on its own, with all findings, so that it can't hide other entries.
TEST_F(stored_registrations, areRefusedIfARequiredFieldIsMissingOrOfAnotherType) {
  const std::string Good =
      R"("service":"s","address":"10.0.0.1:80","zone":"z","max_concurrency":2,"state":"ready")";
  EXPECT_TRUE(
      findingsOf([&] { Format.parseRegistration(object("i-1", "{" + Good + "}")); }).empty());
  struct refusal {
    const char *Id;
    std::string Json;
    std::size_t Findings;
  };
  const std::vector<refusal> Refusals{
      {"no-hexadecimal-digits!", "{" + Good + "}", 1},
      {"i-112233445566778899", "{" + Good + "}", 1},
      {"i-1", "{}", 5},
      {"i-1", "[1]", 1},
      {"i-1", "null", 1},
      {"i-1", "\"text\"", 1},
      {"i-1",
       R"({"service":"s","address":"10.0.0.1","zone":"z","max_concurrency":2,"state":"ready"})", 1},
      {"i-1",
       R"({"service":"s","address":"[::1]:80","zone":"z","max_concurrency":2,"state":"ready"})", 1},
      {"i-1",
       R"({"service":7,"address":"10.0.0.1:80","zone":"z","max_concurrency":0,"state":"up"})", 3},
      {"i-1",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","max_concurrency":2.5,"state":"ready"})",
       1},
      {"i-1", "{" + Good + R"(,"warmup_left_ms":-1})", 1},
      {"i-1", "{" + Good + R"(,"born":1.5})", 1},
  };
  for (const refusal &Refusal : Refusals) {
    SCOPED_TRACE(Refusal.Json);
    EXPECT_GE(
        findingsOf([&] { Format.parseRegistration(object(Refusal.Id, Refusal.Json)); }).size(),
        Refusal.Findings);
  }
}

// Guards against a deviation from the platform's format of evacuations: the name alone counts. A
// name that no target's entry may have is refused.
TEST(stored_evacuations, areReadByTheirNames) {
  const store_object_format Format;
  EXPECT_EQ(Format.evacuationKind(), "evacuations");
  EXPECT_EQ(Format.parseEvacuation(object("riga-a", "{}")), "riga-a");
  EXPECT_EQ(Format.parseEvacuation(object("riga-a", "[7]")), "riga-a");
  for (const char *Name : {"", "riga a", "\xff"})
    EXPECT_EQ(findingsOf([&] { Format.parseEvacuation(object(Name, "{}")); }).size(), 1U) << Name;
}

class stored_configurations : public testing::Test {
protected:
  store_object_format Format;
};

// Guards against a deviation from the platform's format of configurations.
TEST_F(stored_configurations, areReadInTheDocumentedFormat) {
  const routing_configuration Configuration = Format.parseConfiguration(object("main", R"({
      "version":7,
      "routes":[
        {"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8443/","type":"safe","priority":2,
         "backends":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2},
        {"name":"r-2","hostname":"198.18.0.2","path_prefix":"/80/","type":"download","service":"b"}],
      "services":[],"limits":{"idle_timeout_ms":12000}})"));
  EXPECT_EQ(Configuration.Version, 7U);
  EXPECT_EQ(Configuration.IdleTimeout, std::chrono::seconds(12));
  ASSERT_EQ(Configuration.Routes.size(), 2U);
  EXPECT_EQ(toString(Configuration.Routes[0].Address), "198.18.0.1:8443");
  EXPECT_EQ(Configuration.Routes[0].Services, (std::vector<route_service>{{"a", 90}, {"b", 10}}));
  EXPECT_EQ(Configuration.Routes[1].Services, (std::vector<route_service>{{"b", 1}}));
}

// Guards against a configuration of which nothing certain can be said: without its version, and
// without its list of routes, it is refused whole, with all findings.
TEST_F(stored_configurations, areRefusedWithoutAVersionOrRoutes) {
  EXPECT_EQ(findingsOf([&] {
              Format.parseConfiguration(object("main", R"({"version":0,"routes":7})"));
            }).size(),
            2U);
}

// Guards against one odd route, or limit, that keeps all other routes from being followed. Each
// refused part is named with its first finding, so that none is dropped silently.
TEST_F(stored_configurations, keepRoutesBesideOddOnes) {
  const routing_configuration Configuration = Format.parseConfiguration(object("main", R"({
      "version":7,
      "routes":[
        {"name":"good","hostname":"198.18.0.1","path_prefix":"/443/","service":"a"},
        {"name":"host","hostname":"x","path_prefix":"/80/","service":"a"},
        {"name":"port","hostname":"1.2.3.4","path_prefix":"/65536/","service":"a"},
        {"name":"slash","hostname":"1.2.3.4","path_prefix":"80","service":"a"},
        {"name":"empty","hostname":"1.2.3.4","path_prefix":"//","service":"a"},
        {"name":"weight","hostname":"1.2.3.4","path_prefix":"/80/",
         "backends":[{"service":"a","weight":1},{"service":"b","weight":-1}]},
        7, null, [],
        {"name":"last","hostname":"198.18.0.2","path_prefix":"/443/","service":"b"}],
      "limits":{"idle_timeout_ms":0}})"));
  ASSERT_EQ(Configuration.Routes.size(), 2U);
  EXPECT_EQ(Configuration.Routes[0].Name, "good");
  EXPECT_EQ(Configuration.Routes[1].Name, "last");
  std::vector<std::string> Names;
  for (const refused_route &Refused : Configuration.RefusedRoutes) {
    Names.push_back(Refused.Name);
    EXPECT_FALSE(Refused.Finding.empty());
  }
  EXPECT_EQ(Names,
            (std::vector<std::string>{"host", "port", "slash", "empty", "weight", "", "", ""}));
  EXPECT_EQ(Configuration.IdleTimeout, routing_configuration().IdleTimeout);
  EXPECT_FALSE(Configuration.RefusedLimits.empty());
}

// Guards against one odd entry of a service that hides the limits of the others, and against a
// configuration that is refused because of its services.
TEST_F(stored_configurations, keepServicesBesideOddOnes) {
  const auto Parse = [&](const std::string &Services) {
    return Format.parseConfiguration(
        object("main", R"({"version":7,"routes":[],"services":)" + Services + "}"));
  };
  const routing_configuration Configuration = Parse(R"([
      {"name":"a","health_path":"/","max_conns":7,"warmup_s":3,"warmup_per_s":12.5},
      {"name":"b"},
      {"name":"c","warmup_per_s":-1},
      {"name":"d","warmup_per_s":"12"},
      {"name":"e","warmup_per_s":1e9},
      {"name":7,"warmup_per_s":3}, 7, null, [],
      {"name":"f","warmup_per_s":0,"max_conns":"odd"}])");
  EXPECT_EQ(Configuration.Services,
            (std::vector<service_properties>{{"a", 12.5}, {"b", 0}, {"f", 0}}));
  std::vector<std::string> Names;
  for (const refused_service &Refused : Configuration.RefusedServices) {
    Names.push_back(Refused.Name);
    EXPECT_FALSE(Refused.Finding.empty());
  }
  EXPECT_EQ(Names, (std::vector<std::string>{"c", "d", "e", "", "", "", ""}));
  for (const char *Odd : {"7", "null", "{}", "\"x\""})
    EXPECT_EQ(Parse(Odd).RefusedServices.size(), 1U) << Odd;
  EXPECT_TRUE(Parse("[]").RefusedServices.empty());
}

/// Returns an answer that was received.
http_answer answer(int Status, const std::string &Body) {
  return {http_answer::outcome::Answered, Status, {}, Body};
}

/// Returns an answer whose body is encoded in MessagePack.
http_answer packedAnswer(const std::vector<std::uint8_t> &Body) {
  return {http_answer::outcome::Answered,
          200,
          {{"content-type", "application/msgpack"}},
          std::string(Body.begin(), Body.end())};
}

http_answer packedAnswer(const nlohmann::json &Body) {
  return packedAnswer(nlohmann::json::to_msgpack(Body));
}

/// Returns whether both are the same value other than an array or a table.
bool isSameScalar(const document_value &A, const document_value &B) {
  return std::visit(
      [&](const auto &Content) {
        using type = std::decay_t<decltype(Content)>;
        const auto *Other = std::get_if<type>(&B.Content);
        if constexpr (std::is_same_v<type, document_value::array> ||
                      std::is_same_v<type, document_value::table>)
          return false;
        else
          return Other != nullptr && *Other == Content;
      },
      A.Content);
}

class store_answers : public testing::Test {
protected:
  const object_parts Parts = store_object_format().registrationParts();
};

// Guards against treating an answer that can't be parsed as an empty list.
TEST_F(store_answers, thatCannotBeParsedAreMalformed) {
  for (const char *Body :
       {"", "{", "[]", "{}", R"({"items":[{}],"has_more":true,"current_rev":1})",
        R"({"items":{},"has_more":false,"current_rev":1})", R"({"items":[],"has_more":false})",
        R"({"items":[],"has_more":1,"current_rev":1})"}) {
    SCOPED_TRACE(Body);
    EXPECT_EQ(parseListAnswer(answer(200, Body), Parts).Outcome, call_outcome::Malformed);
  }
  for (const char *Body :
       {"", R"({"events":[]})", R"({"events":{"deleted":true},"current_rev":1})"}) {
    SCOPED_TRACE(Body);
    EXPECT_EQ(parseWatchAnswer(answer(200, Body), Parts).Outcome, call_outcome::Malformed);
  }
}

// Guards against a status of the store that is reported with the wrong outcome.
TEST_F(store_answers, distinguishRefusalsFromMissingAnswers) {
  EXPECT_EQ(parseListAnswer({}, Parts).Outcome, call_outcome::Unanswered);
  EXPECT_EQ(parseListAnswer(answer(503, ""), Parts).Outcome, call_outcome::Refused);
  EXPECT_EQ(parseListAnswer(answer(429, ""), Parts).Outcome, call_outcome::Refused);
  EXPECT_EQ(parseWatchAnswer(answer(410, ""), Parts).Outcome, call_outcome::HistoryGone);
  EXPECT_EQ(parseWatchAnswer(answer(404, ""), Parts).Outcome, call_outcome::Malformed);
}

// Guards against one malformed entry that hides the others. The parser of the entry's kind
// validates its content.
TEST_F(store_answers, keepEntriesWithMalformedContent) {
  const list_answer Answer = parseListAnswer(answer(200, R"({"items":[
      {"meta":{"name":"i-1","revision":4,"created":2},"spec":"garbage"},
      {"meta":{"name":"i-2","revision":5,"created":3},"spec":{"a":1,"a":2}},
      {"meta":{"name":"i-3","revision":6,"created":3}}],"has_more":true,"current_rev":8})"),
                                             Parts);
  ASSERT_EQ(Answer.Outcome, call_outcome::Done);
  EXPECT_EQ(Answer.Objects.size(), 3U);
  EXPECT_TRUE(Answer.HasMore);
  EXPECT_EQ(Answer.Revision, 8U);
}

/// Content of an entry that another program wrote, as JSON text.
struct odd_entry {
  const char *Name;
  std::string Spec;
};

std::string nestedArrays(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Returns an entry that is good but for \p Field.
std::string entryWith(const std::string &Field) {
  return R"({"service":"s","zone":"z","max_concurrency":2,"state":"ready",)" + Field + "}";
}

class odd_entries : public testing::TestWithParam<odd_entry> {
protected:
  /// Returns an object of the store with one entry.
  static std::string object(const std::string &Name, const std::string &Spec) {
    return R"({"meta":{"name":")" + Name + R"(","revision":4,"created":2},"spec":)" + Spec + "}";
  }
  /// Checks that the two good entries are read, and the odd one isn't.
  void expectGoodEntries(const std::vector<stored_object> &Objects) {
    ASSERT_EQ(Objects.size(), 3U);
    EXPECT_EQ(Format.parseRegistration(Objects[0]).Name, "i-1");
    EXPECT_THROW(Format.parseRegistration(Objects[1]), findings_error);
    EXPECT_EQ(Format.parseRegistration(Objects[2]).Name, "i-3");
  }
  static std::vector<stored_object> objectsOf(const watch_answer &Answer) {
    std::vector<stored_object> Result;
    for (const object_change &Change : Answer.Changes)
      Result.push_back(Change.Object);
    return Result;
  }

  const std::string Good = entryWith(R"("address":"10.0.0.1:80")");
  const std::string List = R"({"items":[)" + object("i-1", Good) + "," +
                           object("i-2", GetParam().Spec) + "," + object("i-3", Good) +
                           R"(],"has_more":false,"current_rev":8})";
  const std::string Changes = R"({"events":[{"deleted":false,"object":)" + object("i-1", Good) +
                              R"(},{"deleted":false,"object":)" + object("i-2", GetParam().Spec) +
                              R"(},{"deleted":false,"object":)" + object("i-3", Good) +
                              R"(}],"current_rev":8})";
  store_object_format Format;
  const object_parts Parts = Format.registrationParts();
};

// Guards against one writer's entry that hides the others, in a list or among changes: a process
// would follow none of them as long as it exists.
TEST_P(odd_entries, leaveTheOthersReadable) {
  const list_answer Listed = parseListAnswer(answer(200, List), Parts);
  ASSERT_EQ(Listed.Outcome, call_outcome::Done);
  expectGoodEntries(Listed.Objects);
  const watch_answer Watched = parseWatchAnswer(answer(200, Changes), Parts);
  ASSERT_EQ(Watched.Outcome, call_outcome::Done);
  expectGoodEntries(objectsOf(Watched));
}

INSTANTIATE_TEST_SUITE_P(
    store_answers, odd_entries,
    testing::Values(
        odd_entry{"nested", nestedArrays(5'000)},
        odd_entry{"nested_address", entryWith(R"("address":)" + nestedArrays(5'000))},
        odd_entry{"infinite_number", entryWith(R"("address":1e999)")},
        odd_entry{"negative_infinite_number", entryWith(R"("address":-1e999)")},
        odd_entry{"long_number", entryWith(R"("address":1)" + std::string(400, '0'))},
        odd_entry{"large_integer", entryWith(R"("address":"10.0.0.1:80","born":)"
                                             "18446744073709551616")},
        odd_entry{"large_slots", entryWith(R"("address":"10.0.0.1:80",)"
                                           R"("warmup_left_ms":4294967296)")},
        odd_entry{"no_literal", entryWith(R"("address":NaN)")},
        odd_entry{"infinity", entryWith(R"("address":-Infinity)")},
        odd_entry{"port_out_of_range", entryWith(R"("address":"10.0.0.1:65536")")},
        odd_entry{"port_zero", entryWith(R"("address":"10.0.0.1:0")")},
        odd_entry{"huge_port", entryWith(R"("address":"10.0.0.1:99999999999999999999")")},
        odd_entry{"invalid_utf8", entryWith("\"address\":\"\xff\xc0\x80\xed\xa0\x80\"")},
        odd_entry{"lone_surrogate", entryWith(R"("address":"\ud800")")},
        odd_entry{"invalid_escape", entryWith(R"("address":"\x \u12")")},
        odd_entry{"control_characters", entryWith("\"address\":\"\x01\n\"")},
        odd_entry{"null", "null"}, odd_entry{"number", "7"}),
    [](const testing::TestParamInfo<odd_entry> &Info) { return Info.param.Name; });

// Guards against one object without readable fields of the store that hides the others, and against
// a page after which the list can't be continued.
TEST_F(store_answers, keepObjectsBesideOneWhoseOwnFieldsAreOdd) {
  const std::string Good = R"({"meta":{"name":"i-9","revision":4,"created":2},"spec":{}})";
  for (const char *Odd :
       {"7", "null", "{}", R"({"meta":7})", R"({"meta":{"name":7,"revision":1}})",
        R"({"meta":{"name":"i-1","revision":-1}})", R"({"meta":{"name":"i-1","revision":1e999}})",
        R"({"meta":{"name":"i-1","revision":18446744073709551616}})",
        R"({"meta":{"name":"i-1","revision":1,"created":"x"}})"}) {
    SCOPED_TRACE(Odd);
    const list_answer List = parseListAnswer(
        answer(200, R"({"items":[)" + Good + "," + Odd + R"(],"has_more":true,"current_rev":8})"),
        Parts);
    ASSERT_EQ(List.Outcome, call_outcome::Done);
    ASSERT_EQ(List.Objects.size(), 2U);
    EXPECT_TRUE(List.Objects[0].Defect.empty());
    EXPECT_FALSE(List.Objects[1].Defect.empty());
    EXPECT_THROW(store_object_format().parseRegistration(List.Objects[1]), findings_error);
    EXPECT_EQ(List.LastName, List.Objects[1].Name.empty() ? "i-9" : List.Objects[1].Name);
    const watch_answer Watch = parseWatchAnswer(
        answer(200, R"({"events":[{"deleted":false,"object":)" + std::string(Odd) +
                        R"(},{"deleted":false,"object":)" + Good + R"(}],"current_rev":8})"),
        Parts);
    ASSERT_EQ(Watch.Changes.size(), 2U);
    EXPECT_FALSE(Watch.Changes[0].Object.Defect.empty());
    EXPECT_TRUE(Watch.Changes[1].Object.Defect.empty());
    // The same in MessagePack, unless only JSON text can express it.
    const nlohmann::json Value = nlohmann::json::parse(Odd, nullptr, false);
    if (Value.is_discarded())
      continue;
    const watch_answer Packed =
        parseWatchAnswer(packedAnswer(nlohmann::json(
                             {{"events",
                               {{{"deleted", false}, {"object", Value}},
                                {{"deleted", false}, {"object", nlohmann::json::parse(Good)}}}},
                              {"current_rev", 8}})),
                         Parts);
    ASSERT_EQ(Packed.Changes.size(), 2U);
    EXPECT_FALSE(Packed.Changes[0].Object.Defect.empty());
    EXPECT_TRUE(Packed.Changes[1].Object.Defect.empty());
  }
  const watch_answer Watch = parseWatchAnswer(
      answer(200, R"({"events":[7,{"deleted":true},{"object":)" + Good +
                      R"(},{"deleted":true,"object":)" + Good + R"(}],"current_rev":8})"),
      Parts);
  ASSERT_EQ(Watch.Changes.size(), 4U);
  for (std::size_t I = 0; I < 3; ++I)
    EXPECT_FALSE(Watch.Changes[I].Object.Defect.empty()) << I;
  EXPECT_TRUE(Watch.Changes[3].Deleted);
}

// Guards against answers in MessagePack that give other objects than the same answers in JSON.
TEST_F(store_answers, areTheSameInBothEncodings) {
  const std::string Text = R"({"items":[
      {"meta":{"name":"i-1","revision":4,"created":2,"finalizers":[],"deleting":false},
       "spec":{"service":"a","slots":2,"load":0.5,"offset":-3,"none":null,"on":true}}],
      "has_more":false,"current_rev":18446744073709551615})";
  object_parts All;
  for (const char *Name : {"service", "slots", "load", "offset", "none", "on"})
    All.Value.Fields.push_back({Name});
  const list_answer FromText = parseListAnswer(answer(200, Text), All);
  const list_answer FromPacked = parseListAnswer(packedAnswer(nlohmann::json::parse(Text)), All);
  ASSERT_EQ(FromPacked.Outcome, call_outcome::Done);
  EXPECT_EQ(FromPacked.Revision, FromText.Revision);
  ASSERT_EQ(FromPacked.Objects.size(), 1U);
  EXPECT_EQ(FromPacked.Objects[0].Name, FromText.Objects[0].Name);
  const auto &Fields = std::get<document_value::table>(FromPacked.Objects[0].Value.Content);
  const auto &Expected = std::get<document_value::table>(FromText.Objects[0].Value.Content);
  ASSERT_EQ(Fields.size(), All.Value.Fields.size());
  ASSERT_EQ(Fields.size(), Expected.size());
  for (std::size_t I = 0; I < Fields.size(); ++I)
    EXPECT_TRUE(std::any_of(Expected.begin(), Expected.end(), [&](const document_field &Field) {
      return Field.Name == Fields[I].Name && isSameScalar(Field.Value, Fields[I].Value);
    })) << Fields[I].Name;
}

// Guards against a crash or an endless loop on bytes that are cut off or not MessagePack.
TEST_F(store_answers, inMessagePackThatAreCutOffAreMalformed) {
  const std::vector<std::uint8_t> Body = nlohmann::json::to_msgpack(
      nlohmann::json::parse(R"({"items":[],"has_more":false,"current_rev":7})"));
  ASSERT_EQ(parseListAnswer(packedAnswer(Body), Parts).Outcome, call_outcome::Done);
  for (std::size_t Size = 0; Size < Body.size(); ++Size) {
    SCOPED_TRACE(Size);
    EXPECT_EQ(parseListAnswer(packedAnswer(std::vector(Body.begin(), Body.begin() + Size)), Parts)
                  .Outcome,
              call_outcome::Malformed);
  }
  std::vector<std::uint8_t> Longer = Body;
  Longer.push_back(0xc0);
  EXPECT_EQ(parseListAnswer(packedAnswer(Longer), Parts).Outcome, call_outcome::Malformed);
}

// Guards against one writer's entry that makes the whole list unreadable, or overflows the stack:
// values nested beyond any limit, and names that are not strings.
TEST_F(store_answers, inMessagePackKeepEntriesBesideOneThatIsNestedDeep) {
  constexpr std::size_t Depth = 200'000;
  constexpr std::uint8_t ArrayOfOne = 0x91;
  constexpr std::uint8_t MapOfOne = 0x81;
  constexpr std::uint8_t Nil = 0xc0;
  for (const std::uint8_t Opening : {ArrayOfOne, MapOfOne}) {
    nlohmann::json Document = nlohmann::json::parse(R"({"items":[
        {"meta":{"name":"i-1","revision":4,"created":2},"spec":"@"},
        {"meta":{"name":"i-2","revision":5,"created":3},"spec":{"a":1}}],
        "has_more":false,"current_rev":8})");
    std::vector<std::uint8_t> Body = nlohmann::json::to_msgpack(Document);
    const auto Place = std::find(Body.begin(), Body.end(), '@') - 1;
    // A map holds the nested value as its name, and a value.
    std::vector<std::uint8_t> Nested(Depth, Opening);
    Nested.push_back(Nil);
    if (Opening == MapOfOne)
      Nested.insert(Nested.end(), Depth, Nil);
    const auto At = Body.erase(Place, Place + 2);
    Body.insert(At, Nested.begin(), Nested.end());
    const list_answer Answer = parseListAnswer(packedAnswer(Body), Parts);
    ASSERT_EQ(Answer.Outcome, call_outcome::Done) << static_cast<int>(Opening);
    ASSERT_EQ(Answer.Objects.size(), 2U);
    EXPECT_EQ(Answer.Objects[1].Name, "i-2");
  }
}

// Guards against the same by values that only MessagePack can express, or that it expresses in
// another way than JSON.
TEST_F(store_answers, inMessagePackKeepEntriesBesideOneWithAnOddValue) {
  const std::vector<std::vector<std::uint8_t>> OddValues{
      {0xcb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0},                   // infinity
      {0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 1},                   // not a number
      {0xca, 0xff, 0x80, 0, 0},                               // -infinity, 32 bits
      {0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // 2^64 - 1
      {0xd3, 0x80, 0, 0, 0, 0, 0, 0, 0},                      // -2^63
      {0xa3, 0xff, 0xc0, 0x80},                               // text that is not UTF-8
      {0xc4, 0x02, 0x31, 0x30},                               // bytes
      {0xd7, 0xff, 0, 0, 0, 0, 0, 0, 0, 0},                   // timestamp
      {0x82, 0x01, 0x02, 0xa1, 'a', 0x90},                    // map with a number as name
      {0xb1, '1', '0', '.', '0', '.', '0', '.', '1', ':',     // port out of range
       '9', '9', '9', '9', '9', '9', '9', '9'},
  };
  const std::string Entry = entryWith(R"("address":"10.0.0.1:80")");
  const std::string First = R"({"meta":{"name":"i-1","revision":4},"spec":)" + Entry + "}";
  const std::string OddOne =
      R"({"meta":{"name":"i-2","revision":5},"spec":)" + entryWith(R"("address":"@")") + "}";
  const std::string Last = R"({"meta":{"name":"i-3","revision":6},"spec":)" + Entry + "}";
  const nlohmann::json List =
      nlohmann::json::parse(R"({"items":[)" + First + "," + OddOne + "," + Last +
                            R"(],"has_more":false,"current_rev":8})");
  const nlohmann::json Changes = nlohmann::json::parse(
      R"({"events":[{"deleted":false,"object":)" + First + R"(},{"deleted":false,"object":)" +
      OddOne + R"(},{"deleted":false,"object":)" + Last + R"(}],"current_rev":8})");
  const store_object_format Format;
  const auto ExpectGoodEntries = [&](const std::vector<stored_object> &Objects) {
    ASSERT_EQ(Objects.size(), 3U);
    EXPECT_EQ(Format.parseRegistration(Objects[0]).Name, "i-1");
    EXPECT_THROW(Format.parseRegistration(Objects[1]), findings_error);
    EXPECT_EQ(Format.parseRegistration(Objects[2]).Name, "i-3");
  };
  for (const std::vector<std::uint8_t> &Odd : OddValues) {
    SCOPED_TRACE(testing::PrintToString(Odd));
    const auto PackedWithOddValue = [&Odd](const nlohmann::json &Document) {
      std::vector<std::uint8_t> Body = nlohmann::json::to_msgpack(Document);
      const auto Place = std::find(Body.begin(), Body.end(), '@') - 1;
      Body.insert(Body.erase(Place, Place + 2), Odd.begin(), Odd.end());
      return packedAnswer(Body);
    };
    ExpectGoodEntries(parseListAnswer(PackedWithOddValue(List), Parts).Objects);
    std::vector<stored_object> Changed;
    for (const object_change &Change : parseWatchAnswer(PackedWithOddValue(Changes), Parts).Changes)
      Changed.push_back(Change.Object);
    ExpectGoodEntries(Changed);
  }
}

// Guards against changes that are reordered, and against deletions that are read as updates.
TEST_F(store_answers, reportChangesInOrder) {
  const watch_answer Answer = parseWatchAnswer(answer(200, R"({"events":[
      {"deleted":false,"object":{"meta":{"name":"i-1","revision":4,"created":2},"spec":{}}},
      {"deleted":true,"object":{"meta":{"name":"i-1","revision":5,"created":2}}}],"current_rev":7})"),
                                               Parts);
  ASSERT_EQ(Answer.Changes.size(), 2U);
  EXPECT_FALSE(Answer.Changes[0].Deleted);
  EXPECT_TRUE(Answer.Changes[1].Deleted);
  EXPECT_EQ(Answer.Revision, 7U);
}

} // namespace
} // namespace briarpoint::platform
