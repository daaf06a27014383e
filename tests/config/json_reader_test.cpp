#include "base/findings_error.h"
#include "config/json_reader.h"

#include <gtest/gtest.h>

#include <string>

namespace briarpoint {
namespace {

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

std::size_t depthOf(const document_value &Value) {
  const auto *Elements = std::get_if<document_value::array>(&Value.Content);
  if (Elements == nullptr)
    return 0;
  return 1 + (Elements->empty() ? 0 : depthOf(Elements->front()));
}

class lenient_json : public testing::Test {};

// Guards against a whole answer that is refused because of one irregular entry of another program.
TEST_F(lenient_json, mayContainAFieldTwice) {
  const std::string Text = R"({"a": 1, "a": 2, "b": 3})";
  EXPECT_EQ(std::get<document_value::table>(readLenientJson(Text, "test").Content).size(), 3U);
  EXPECT_THROW(readJson(Text, "test"), findings_error);
}

// Guards against deep nesting that exhausts the stack, and against values that are misplaced after
// a skipped part.
TEST_F(lenient_json, isReadDownToTheMaximumDepth) {
  EXPECT_EQ(depthOf(readLenientJson(nested(32), "test")), 32U);
  EXPECT_EQ(depthOf(readLenientJson(nested(100'000), "test")), 32U);
  EXPECT_THROW(readJson(nested(33), "test"), findings_error);

  const std::string Text = R"({"deep": )" + nested(30) + R"(, "deeper": )" + nested(31) +
                           R"(, "other": )" + std::string(31, '[') +
                           R"({"x": [{"y": 1}], "z": 2})" + std::string(31, ']') +
                           R"(, "last": "v"})";
  const document_value Value = readLenientJson(Text, "test");
  const auto &Fields = std::get<document_value::table>(Value.Content);
  ASSERT_EQ(Fields.size(), 4U);
  EXPECT_EQ(depthOf(Fields[0].Value), 30U);
  EXPECT_EQ(depthOf(Fields[1].Value), 31U);
  EXPECT_EQ(depthOf(Fields[2].Value), 31U);
  EXPECT_EQ(Fields[3].Name, "last");
  EXPECT_EQ(std::get<std::string>(Fields[3].Value.Content), "v");
}

// Guards against lenient reading that also accepts wrong syntax.
TEST_F(lenient_json, isRefusedIfTheSyntaxIsWrong) {
  for (const char *Text : {"", "{", R"({"a" 1})", "[1,]", "1 2"}) {
    SCOPED_TRACE(Text);
    EXPECT_THROW(readLenientJson(Text, "test"), findings_error);
  }
}

} // namespace
} // namespace briarpoint
