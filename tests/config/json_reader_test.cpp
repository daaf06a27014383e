#include "base/findings_error.h"
#include "config/json_reader.h"

#include <gtest/gtest.h>

#include <string>

namespace briarpoint {
namespace {

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

const std::string &textOf(const document_value &Value) {
  return std::get<std::string>(Value.Content);
}

/// Reads the fields "a" and "last", the lists in "deep" two levels down, and nothing else.
class parts_of_json : public testing::Test {
protected:
  const document_parts Lists{.Name = "deep", .Elements = {{.Elements = {{}}}}};
  const document_parts Parts{.Fields = {{"a"}, Lists, {.Name = "last", .MaxTextSize = 4}}};

  document_value::table read(const std::string &Text) const {
    return std::get<document_value::table>(readJsonParts(Text, "test", Parts).Content);
  }
};

// Guards against a whole answer that is refused because of one irregular entry of another program.
TEST_F(parts_of_json, mayContainAFieldTwice) {
  const std::string Text = R"({"a": 1, "a": 2, "b": 3})";
  const document_value::table Fields = read(Text);
  ASSERT_EQ(Fields.size(), 1U);
  EXPECT_EQ(std::get<std::uint64_t>(Fields[0].Value.Content), 1U);
  EXPECT_THROW(readJson(Text, "test"), findings_error);
}

// Guards against deep nesting that exhausts the stack or the memory, and against values that are
// misplaced after a skipped part.
TEST_F(parts_of_json, areReadBesideAndWithinDeepNesting) {
  EXPECT_THROW(readJson(nested(33), "test"), findings_error);
  const std::string Text = R"({"other": )" + nested(100'000) + R"(, "deep": )" + nested(100'000) +
                           R"(, "a": )" + std::string(31, '[') + R"({"x": [{"last": 1}], "z": 2})" +
                           std::string(31, ']') + R"(, "last": "long text"})";
  const document_value::table Fields = read(Text);
  ASSERT_EQ(Fields.size(), 3U);
  EXPECT_EQ(Fields[0].Name, "deep");
  const auto &Outer = std::get<document_value::array>(Fields[0].Value.Content);
  ASSERT_EQ(Outer.size(), 1U);
  const auto &Inner = std::get<document_value::array>(Outer[0].Content);
  ASSERT_EQ(Inner.size(), 1U);
  EXPECT_TRUE(std::get<document_value::array>(Inner[0].Content).empty());
  EXPECT_EQ(Fields[1].Name, "a");
  EXPECT_TRUE(std::get<document_value::array>(Fields[1].Value.Content).empty());
  EXPECT_EQ(Fields[2].Name, "last");
  EXPECT_EQ(textOf(Fields[2].Value), "long...");
}

// Guards against a value that takes more memory than its parts may, and against a limit that also
// affects the elements beside it.
TEST(parts_with_limited_memory, areReadAsNullBeyondIt) {
  class received_elements final : public element_receiver {
  public:
    void begin() override { Elements.clear(); }
    void add(document_element Element) override { Elements.push_back(std::move(Element)); }
    std::vector<document_element> Elements;
  };
  const document_parts Limited{.Name = "x", .Elements = {{.Elements = {{}}}}, .MaxMemory = 1000};
  const document_parts Item{.Fields = {{"id"}, Limited, {"y"}}};
  const document_parts Parts{.Fields = {{.Name = "items", .Elements = {Item}}, {"end"}}};
  const std::string Large = "[[" + std::string(40, ' ') + "1,[1],1,1,1,1,1,1,1,1,1,1,1,1,1],[2]]";
  const std::string Text = R"({"items":[{"id":1,"x":[[1,2],[3]],"y":1},{"x":)" + Large +
                           R"(,"id":2,"y":2},{"id":3,"x":[[4]],"y":3}],"end":true})";
  received_elements Received;
  const document_value Root = readJsonParts(Text, "test", Parts, &Received);
  ASSERT_EQ(Received.Elements.size(), 3U);
  for (std::size_t I = 0; I < 3; ++I) {
    SCOPED_TRACE(I);
    EXPECT_EQ(Received.Elements[I].Defect.empty(), I != 1);
    const auto &Fields = std::get<document_value::table>(Received.Elements[I].Value.Content);
    ASSERT_EQ(Fields.size(), 3U);
    for (const document_field &Field : Fields) {
      if (Field.Name == "x")
        EXPECT_EQ(std::holds_alternative<std::monostate>(Field.Value.Content), I == 1);
      else
        EXPECT_EQ(std::get<std::uint64_t>(Field.Value.Content), I + 1);
    }
  }
  const auto &Fields = std::get<document_value::table>(Root.Content);
  ASSERT_EQ(Fields.size(), 2U);
  EXPECT_TRUE(std::get<document_value::array>(Fields[0].Value.Content).empty());
  EXPECT_TRUE(std::get<bool>(Fields[1].Value.Content));
}

// Guards against tolerant reading that also accepts wrong syntax.
TEST_F(parts_of_json, areRefusedIfTheSyntaxIsWrong) {
  for (const char *Text : {"", "{", R"({"a" 1})", "[1,]", "1 2"}) {
    SCOPED_TRACE(Text);
    EXPECT_THROW(read(Text), findings_error);
  }
}

} // namespace
} // namespace briarpoint
