#include "config/json_syntax_finding.h"

#include <algorithm>

namespace briarpoint {

finding jsonSyntaxFinding(const std::string &Source, std::string_view Text, std::size_t Position,
                          std::string_view LastToken) {
  const std::string_view Before = Text.substr(0, Position == 0 ? 0 : Position - 1);
  const std::size_t LineStart = Before.rfind('\n');
  const std::size_t Column =
      Before.size() - (LineStart == std::string_view::npos ? 0 : LineStart + 1) + 1;
  const auto Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  constexpr std::size_t ShownLength = 40;
  std::string Shown(LastToken.substr(LastToken.size() - std::min(LastToken.size(), ShownLength)));
  std::replace_if(
      Shown.begin(), Shown.end(), [](char C) { return C < ' ' || C > '~'; }, '?');
  return {Source, static_cast<std::uint32_t>(Line), static_cast<std::uint32_t>(Column), "",
          "JSON syntax error near \"" + Shown + "\""};
}

} // namespace briarpoint
