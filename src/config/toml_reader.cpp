// The distribution's package also has a compiled library; only a header-only build takes the
// compile options that src/CMakeLists.txt sets for this file.
#define TOML_HEADER_ONLY 1

#include "config/toml_reader.h"

#include "base/findings_error.h"

#include <toml++/toml.h>

namespace briarpoint {

namespace {

/// Maximum nesting depth, above that of any configuration. Bounds recursion in the decoder.
constexpr std::size_t MaxDepth = 32;

[[noreturn]] void fail(const std::string &Source, const toml::source_position &Where,
                       std::string Message) {
  throw findings_error({{Source, Where.line, Where.column, "", std::move(Message)}});
}

/// Refuses keys with many dots. The library doesn't limit the depth of the tables that dotted keys
/// create, and it destroys tables recursively. Such a key would exhaust the stack.
void checkDottedKeys(std::string_view Text, const std::string &Source) {
  std::size_t Dots = 0;
  toml::source_position Where{1, 0};
  for (const char C : Text) {
    ++Where.column;
    if (C == '.')
      ++Dots;
    else if (std::string_view("\n=,[]{}").find(C) != std::string_view::npos)
      Dots = 0;
    if (Dots > 2 * MaxDepth)
      fail(Source, Where, "has a key or text with more than 64 dots");
    if (C == '\n')
      Where = {Where.line + 1, 0};
  }
}

class document_converter {
public:
  explicit document_converter(const std::string &Source) : Source(Source) {}

  document_value convert(const toml::node &Node, std::size_t Depth) {
    if (Depth > MaxDepth)
      fail(Source, Node.source().begin, "is nested more than 32 levels deep");
    document_value Value;
    Value.Line = Node.source().begin.line;
    Value.Column = Node.source().begin.column;
    if (const toml::table *Table = Node.as_table())
      Value.Content = convertTable(*Table, Depth);
    else if (const toml::array *Array = Node.as_array())
      Value.Content = convertArray(*Array, Depth);
    else
      setScalar(Node, Value);
    return Value;
  }

private:
  document_value::table convertTable(const toml::table &Table, std::size_t Depth) {
    document_value::table Fields;
    Fields.reserve(Table.size());
    for (const auto &[Key, Node] : Table)
      Fields.push_back({std::string(Key.str()), convert(Node, Depth + 1)});
    return Fields;
  }

  document_value::array convertArray(const toml::array &Array, std::size_t Depth) {
    document_value::array Elements;
    Elements.reserve(Array.size());
    for (const toml::node &Node : Array)
      Elements.push_back(convert(Node, Depth + 1));
    return Elements;
  }

  static void setScalar(const toml::node &Node, document_value &Value) {
    if (const auto *Text = Node.as_string())
      Value.Content = Text->get();
    else if (const auto *Boolean = Node.as_boolean())
      Value.Content = Boolean->get();
    else if (const auto *Number = Node.as_floating_point())
      Value.Content = Number->get();
    else if (const auto *Integer = Node.as_integer()) {
      if (Integer->get() < 0)
        Value.Content = std::int64_t{Integer->get()};
      else
        Value.Content = static_cast<std::uint64_t>(Integer->get());
    }
  }

  const std::string &Source;
};

} // namespace

document_value readToml(std::string_view Text, const std::string &Source) {
  checkDottedKeys(Text, Source);
  try {
    const toml::table Document = toml::parse(Text);
    return document_converter(Source).convert(Document, 0);
  } catch (const toml::parse_error &Error) {
    fail(Source, Error.source().begin, "TOML syntax error: " + std::string(Error.description()));
  }
}

} // namespace briarpoint
