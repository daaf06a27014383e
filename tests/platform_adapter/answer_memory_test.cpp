#include "allocation_count.h"
#include "platform/http_object_api.h"
#include "platform/store_object_format.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarpoint::platform {
namespace {

/// Largest object that the platform's store takes, in bytes.
constexpr std::size_t MaxObjectBytes = 1'048'576;
/// The smallest machines have 69 MB, and control may take 32 MB of them.
constexpr std::size_t MaxControlBytes = 32'000'000;
/// What an entry may take of which nothing is needed, with the description of what is read.
constexpr std::size_t MaxKeptBytes = 10'000;

enum class encoding { Json, Msgpack };

std::string networkOrder(std::uint32_t Number) {
  std::string Bytes;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>(Number >> Shift);
  return Bytes;
}

std::string repeated(std::size_t Count, std::string_view Part) {
  std::string Result;
  Result.reserve(Count * Part.size());
  for (std::size_t I = 0; I < Count; ++I)
    Result += Part;
  return Result;
}

/// Returns a value of about MaxObjectBytes: a list of a small value.
std::string listOf(encoding Encoding, const nlohmann::json &Element) {
  const std::string Text = Element.dump();
  if (Encoding == encoding::Json)
    return "[" + repeated(MaxObjectBytes / (Text.size() + 1) - 1, Text + ",") + Text + "]";
  const std::vector<std::uint8_t> Packed = nlohmann::json::to_msgpack(Element);
  const std::size_t Count = MaxObjectBytes / Packed.size();
  return '\xdd' + networkOrder(static_cast<std::uint32_t>(Count)) +
         repeated(Count, std::string(Packed.begin(), Packed.end()));
}

/// The same: lists within lists.
std::string nestedLists(encoding Encoding) {
  if (Encoding == encoding::Json)
    return std::string(MaxObjectBytes / 2, '[') + std::string(MaxObjectBytes / 2, ']');
  return std::string(MaxObjectBytes - 1, '\x91') + '\xc0';
}

/// The same: a table with many fields.
std::string manyFields(encoding Encoding) {
  nlohmann::json Table;
  for (int I = 0; I < 75'000; ++I)
    Table["field" + std::to_string(I)] = I;
  if (Encoding == encoding::Json)
    return Table.dump();
  const std::vector<std::uint8_t> Packed = nlohmann::json::to_msgpack(Table);
  return {Packed.begin(), Packed.end()};
}

/// The same: a table with one field. Its content is \p Value, in the encoding.
std::string fieldWith(encoding Encoding, const std::string &Name, const std::string &Value) {
  if (Encoding == encoding::Json)
    return "{\"" + Name + "\":" + Value + "}";
  return '\x81' + std::string(1, static_cast<char>(0xa0 + Name.size())) + Name + Value;
}

std::string textOf(encoding Encoding, std::size_t Size) {
  if (Encoding == encoding::Json)
    return '"' + std::string(Size, 'a') + '"';
  return '\xdb' + networkOrder(static_cast<std::uint32_t>(Size)) + std::string(Size, 'a');
}

/// Returns the answer to a list or a watch with one object that has \p Name, \p Meta and \p Spec,
/// in the encoding.
http_answer answerWith(encoding Encoding, bool Watch, const std::string &Name,
                       const std::string &Spec) {
  if (Encoding == encoding::Json) {
    const std::string Object =
        R"({"spec":)" + Spec + R"(,"meta":{"name":)" + Name + R"(,"revision":4}})";
    return {http_answer::outcome::Answered,
            200,
            {},
            Watch ? R"({"events":[{"deleted":false,"object":)" + Object + R"(}],"current_rev":8})"
                  : R"({"items":[)" + Object + R"(],"has_more":false,"current_rev":8})"};
  }
  // The lengths of texts are in their first bytes.
  const std::string Object =
      "\x82\xa4spec" + Spec + "\xa4meta\x82\xa4name" + Name + "\xa8revision\x04";
  const std::string Body = Watch ? "\x82\xa6"
                                   "events\x91\x82\xa7"
                                   "deleted\xc2\xa6object" +
                                       Object +
                                       "\xab"
                                       "current_rev\x08"
                                 : "\x83\xa5items\x91" + Object +
                                       "\xa8has_more\xc2\xab"
                                       "current_rev\x08";
  return {http_answer::outcome::Answered, 200, {{"content-type", "application/msgpack"}}, Body};
}

struct foreign_object {
  const char *Name;
  std::string (*Spec)(encoding);
};

const foreign_object ForeignObjects[] = {
    {"numbers", [](encoding Encoding) { return listOf(Encoding, 1); }},
    {"tables", [](encoding Encoding) { return listOf(Encoding, nlohmann::json::object()); }},
    {"nested", nestedLists},
    {"fields", manyFields},
    {"text", [](encoding Encoding) { return textOf(Encoding, MaxObjectBytes); }},
    {"long_service",
     [](encoding Encoding) {
       return fieldWith(Encoding, "service", textOf(Encoding, MaxObjectBytes));
     }},
    {"list_as_service",
     [](encoding Encoding) { return fieldWith(Encoding, "service", listOf(Encoding, 1)); }},
    {"empty_routes",
     [](encoding Encoding) {
       return fieldWith(Encoding, "routes", listOf(Encoding, nlohmann::json::object()));
     }},
    {"odd_services",
     [](encoding Encoding) { return fieldWith(Encoding, "services", listOf(Encoding, 1)); }},
};

using foreign_case = std::tuple<foreign_object, encoding, bool>;

class objects_of_another_writer : public testing::TestWithParam<foreign_case> {
protected:
  /// Parses an answer of the store with the object. Checks that it takes at most \p MaxBytes beside
  /// the answer, and what the object takes afterwards.
  static void parse(const object_parts &Parts, std::size_t MaxBytes) {
    const auto &[Object, Encoding, Watch] = GetParam();
    const std::string Name = textOf(Encoding, 9);
    const http_answer Answer = answerWith(Encoding, Watch, Name, Object.Spec(Encoding));
    const allocation_count Allocations;
    if (Watch) {
      const watch_answer Parsed = parseWatchAnswer(Answer, Parts);
      ASSERT_EQ(Parsed.Outcome, call_outcome::Done);
      ASSERT_EQ(Parsed.Changes.size(), 1U);
      EXPECT_EQ(Parsed.Changes[0].Object.Name, "aaaaaaaaa");
      EXPECT_LE(Allocations.held(), MaxKeptBytes);
    } else {
      const list_answer Parsed = parseListAnswer(Answer, Parts);
      ASSERT_EQ(Parsed.Outcome, call_outcome::Done);
      ASSERT_EQ(Parsed.Objects.size(), 1U);
      EXPECT_EQ(Parsed.Objects[0].Name, "aaaaaaaaa");
      EXPECT_LE(Allocations.held(), MaxKeptBytes);
    }
    EXPECT_LE(Allocations.peak(), MaxBytes);
  }
  store_object_format Format;
};

// Guards against an entry of another writer whose size, rather than what is needed of it, sets the
// memory: a process that starts beside some of them exceeds the memory of its machine without end
// (review, case 11).
TEST_P(objects_of_another_writer, takeLittleMemory) {
  // The parser of JSON keeps the text of a value until its end.
  const std::size_t MaxUnused =
      std::get<encoding>(GetParam()) == encoding::Json ? MaxControlBytes : MaxKeptBytes;
  parse(Format.registrationParts(), MaxUnused);
  parse(Format.evacuationParts(), MaxUnused);
  // The name that shows that the object isn't the configuration may follow its content.
  parse(Format.configurationParts(), MaxControlBytes);
}

std::string nameOf(const testing::TestParamInfo<foreign_case> &Info) {
  const auto &[Object, Encoding, Watch] = Info.param;
  return std::string(Object.Name) + (Encoding == encoding::Json ? "_json" : "_msgpack") +
         (Watch ? "_watched" : "_listed");
}

INSTANTIATE_TEST_SUITE_P(answers, objects_of_another_writer,
                         testing::Combine(testing::ValuesIn(ForeignObjects),
                                          testing::Values(encoding::Json, encoding::Msgpack),
                                          testing::Bool()),
                         nameOf);

// Guards against a limit that refuses a configuration of the largest size that operators can write.
TEST(configurations_of_the_largest_size, areReadCompletely) {
  for (const char *Target : {R"("service":"s")", R"("backends":[{"service":"s","weight":1}])"}) {
    SCOPED_TRACE(Target);
    const nlohmann::json Route = nlohmann::json::parse(
        R"({"name":"r","hostname":"1.2.3.4","path_prefix":"/8/",)" + std::string(Target) + "}");
    const nlohmann::json Routes(MaxObjectBytes / nlohmann::json::to_msgpack(Route).size(), Route);
    const std::vector<std::uint8_t> Body =
        nlohmann::json::to_msgpack({{"items",
                                     {{{"meta", {{"name", "main"}, {"revision", 4}}},
                                       {"spec", {{"version", 7}, {"routes", Routes}}}}}},
                                    {"has_more", false},
                                    {"current_rev", 8}});
    const http_answer Answer{http_answer::outcome::Answered,
                             200,
                             {{"content-type", "application/msgpack"}},
                             std::string(Body.begin(), Body.end())};
    const store_object_format Format;
    const allocation_count Allocations;
    const list_answer Parsed = parseListAnswer(Answer, Format.configurationParts());
    ASSERT_EQ(Parsed.Objects.size(), 1U);
    EXPECT_EQ(Format.parseConfiguration(Parsed.Objects[0]).Routes.size(), Routes.size());
    EXPECT_LE(Allocations.peak(), MaxControlBytes);
  }
}

// Guards against a list that can't be continued after an object whose name is cut.
TEST(objects_with_long_names, areCutButContinueTheList) {
  for (const encoding Encoding : {encoding::Json, encoding::Msgpack}) {
    const http_answer Answer =
        answerWith(Encoding, false, textOf(Encoding, 100'000), textOf(Encoding, 1));
    const list_answer Parsed = parseListAnswer(Answer, {});
    ASSERT_EQ(Parsed.Objects.size(), 1U);
    EXPECT_LT(Parsed.Objects[0].Name.size(), 300U);
    EXPECT_EQ(Parsed.LastName, std::string(100'000, 'a'));
  }
}

} // namespace
} // namespace briarpoint::platform
